package execution_test

import (
	"context"
	"fmt"
	"time"

	"wisteriaspool/coordination/execution"
	"wisteriaspool/coordination/kv/kvtest"
	"wisteriaspool/coordination/outcome"
)

// orderDesk is an endpoint that books slots.
type orderDesk struct{ booked int }

func (d *orderDesk) Send(context.Context) execution.Result {
	d.booked++
	body := fmt.Sprintf("slot %d", d.booked)
	return execution.Result{Outcome: outcome.Ran, Answer: &execution.Answer{Status: 201, Body: []byte(body)}}
}

func ExampleLedger_Run() {
	ledger, cleanup := execution.New(execution.Config{Store: kvtest.New(), Holder: "router-1"})
	defer cleanup()
	req := execution.Request{
		Team:        "solco",
		Key:         "order-17",
		IssuedAt:    time.Now(),
		Fingerprint: execution.FingerprintOf([]byte("book"), []byte("300 copies")),
	}
	desk := &orderDesk{}
	for range 2 {
		res := ledger.Run(context.Background(), req, desk)
		fmt.Printf("%s, %s, repeated: %v\n", res.Outcome, res.Answer.Body, res.Repeated)
	}
	// Output:
	// ran, slot 1, repeated: false
	// ran, slot 1, repeated: true
}
