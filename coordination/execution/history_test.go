package execution_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"wisteriaspool/coordination/outcome"
)

// callID numbers the calls with one key, from 0 to 63.
type callID int

// none means no call.
const none callID = -1

// input is one operation on a key: a call, or an arrival at the service on
// behalf of a call.
type input struct {
	key     string
	call    callID
	arrival bool
}

// output is the result returned to a caller. The answer of an action that ran
// is the ID of the call for which it ran.
type output struct {
	outcome outcome.Outcome
	answer  callID
}

// keyState is the state of one key in the model.
type keyState struct {
	ranFor callID // call whose arrival ran
	denied uint64 // bit set of the calls that returned not-run
}

// model specifies the legal operations on a key: the action runs at most once;
// it never runs, before or after, for a call that returned not-run; and each
// call that returns ran returns the answer of that run.
var model = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{ranFor: none} },
	Step: func(state, in, out any) (bool, any) {
		return step(state.(keyState), in.(input), out.(output))
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v: %+v", in, out) },
}

func step(s keyState, in input, out output) (bool, keyState) {
	bit := uint64(1) << in.call
	if in.arrival {
		legal := s.ranFor == none && s.denied&bit == 0
		s.ranFor = in.call
		return legal, s
	}
	switch out.outcome {
	case outcome.Ran:
		return s.ranFor == out.answer, s
	case outcome.NotRun:
		s.denied |= bit
		return s.ranFor != in.call, s
	default:
		return true, s
	}
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	var parts [][]porcupine.Operation
	at := map[string]int{}
	for _, op := range ops {
		key := op.Input.(input).key
		i, ok := at[key]
		if !ok {
			i = len(parts)
			at[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// history records operations in the order in which they happen.
type history struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
	calls map[string]callID // number of calls begun, by key
}

func newHistory() *history { return &history{calls: map[string]callID{}} }

// begin records the start of a call and returns its index and ID.
func (h *history) begin(client int, key string) (index int, id callID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id = h.calls[key]
	h.calls[key]++
	h.clock++
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input{key: key, call: id}, Call: h.clock})
	return len(h.ops) - 1, id
}

func (h *history) end(index int, out output) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	h.ops[index].Output = out
	h.ops[index].Return = h.clock
}

// arrive records an arrival at the service, which is the run of the action.
func (h *history) arrive(key string, call callID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: 1000 + int(call),
		Input:    input{key: key, call: call, arrival: true},
		Call:     h.clock,
		Output:   output{},
		Return:   h.clock,
	})
}

// tally counts the operations and outcomes in a history.
type tally struct {
	calls, arrivals, ran, notRun, unknown int
}

func (h *history) tally() tally {
	var t tally
	for _, op := range h.ops {
		if op.Input.(input).arrival {
			t.arrivals++
			continue
		}
		t.calls++
		switch op.Output.(output).outcome {
		case outcome.Ran:
			t.ran++
		case outcome.NotRun:
			t.notRun++
		default:
			t.unknown++
		}
	}
	return t
}

func (t *tally) add(n tally) {
	t.calls += n.calls
	t.arrivals += n.arrivals
	t.ran += n.ran
	t.notRun += n.notRun
	t.unknown += n.unknown
}

func TestModelRejectsIllegalHistories(t *testing.T) {
	call := func(id callID, from, to int64, out output) porcupine.Operation {
		return porcupine.Operation{ClientId: int(id), Input: input{key: "k", call: id}, Call: from, Output: out, Return: to}
	}
	arrival := func(id callID, at int64) porcupine.Operation {
		return porcupine.Operation{ClientId: 1000, Input: input{key: "k", call: id, arrival: true}, Call: at, Output: output{}, Return: at}
	}
	ran := func(by callID) output { return output{outcome: outcome.Ran, answer: by} }
	notRun := output{outcome: outcome.NotRun}
	tests := []struct {
		name string
		ops  []porcupine.Operation
		want bool
	}{
		{"one run, repeated answer", []porcupine.Operation{call(0, 1, 4, ran(0)), arrival(0, 2), call(1, 5, 6, ran(0))}, true},
		{"denied, then run for another", []porcupine.Operation{call(0, 1, 2, notRun), call(1, 3, 6, ran(1)), arrival(1, 4)}, true},
		{"two runs", []porcupine.Operation{call(0, 1, 4, ran(0)), arrival(0, 2), call(1, 5, 8, ran(1)), arrival(1, 6)}, false},
		{"denied after its run", []porcupine.Operation{call(0, 1, 4, notRun), arrival(0, 2)}, false},
		{"run after its denial", []porcupine.Operation{call(0, 1, 2, notRun), arrival(0, 3)}, false},
		{"answer of no run", []porcupine.Operation{call(0, 1, 2, ran(0))}, false},
		{"answer before its run", []porcupine.Operation{call(0, 1, 2, ran(0)), arrival(0, 3)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, porcupine.CheckOperations(model, tt.ops), tt.want)
		})
	}
}
