package balance_test

import (
	"fmt"
	"time"

	"limeladder/balance"
)

// A gateway passes what happened and carries out what comes back.
func Example() {
	router, err := balance.New(balance.Config{Instances: 1, Zone: "east", Classes: []balance.Class{
		{Name: "write", Aim: time.Second, GiveUp: 3 * time.Second, Worth: 1, Need: balance.NeedUpdate,
			Effect: balance.Unsafe},
	}}, 1)
	if err != nil {
		panic(err)
	}
	acts := router.Step(time.Second,
		[]balance.Event{
			balance.List{Kind: balance.ListFull, Entries: []balance.Entry{
				{Node: "db1", Zone: "east", Group: 7, State: balance.Ready},
				{Node: "db2", Zone: "east", Group: 7, State: balance.Ready, Primary: true}}},
			balance.Request{ID: "r1", Class: "write", Group: 7, Expires: 3 * time.Second},
		})
	for _, a := range acts {
		if s, ok := a.(balance.Send); ok {
			fmt.Println(s.ID, "to", s.Node)
		}
	}
	// Output: r1 to db2
}
