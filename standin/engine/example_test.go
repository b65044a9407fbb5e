package engine_test

import (
	"fmt"
	"strings"

	"wisteriaspool/standin/engine"
)

// Every engine gives the same answer to the same conversation, so that a test can
// check that an answer is complete and belongs to its conversation.
func ExampleAnswer() {
	messages := []engine.Message{{Role: "user", Content: "a quote for 300 copies"}}
	answer := engine.Answer(messages, 4)
	fmt.Println(len(strings.Fields(answer)), answer == engine.Answer(messages, 4))
	// Output: 4 true
}
