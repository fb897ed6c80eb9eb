package arrowwalk_test

import (
	"fmt"

	"arrowwalk"
)

// A scheduler learns of a node, accepts a request, sends it and receives its
// outcome.
func Example() {
	s, err := arrowwalk.New(arrowwalk.Settings{
		Hosts: 1, MaxAttempts: 3, Tick: 1000, MeanUnits: 2, MostUnits: 6,
		Classes: []arrowwalk.Class{{Name: "read", Aim: 400_000, Deadline: 2_500_000, Worth: 1}},
		Plans:   []arrowwalk.Plan{{Name: "basic", Rate: 10, Weight: 1, WorthFactor: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := arrowwalk.Micros(5_000_000)
	node := arrowwalk.Node{ID: "a", Shard: 0, State: arrowwalk.Ready}
	s.Step(now, &arrowwalk.NodeList{Kind: arrowwalk.ListStored, Nodes: []arrowwalk.Node{node}})

	request := &arrowwalk.Request{
		ID: 7, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, TimeLeft: 2_500_000, Units: 2,
	}
	for _, a := range s.Step(now, request) {
		switch a.Kind {
		case arrowwalk.Send:
			fmt.Println("send request", a.Request, "to node", a.Node)
		case arrowwalk.SetTimer:
			fmt.Println("timer in", a.Delay)
		}
	}
	attempt := arrowwalk.Attempt{Request: 7, Node: "a"}
	outcome := &arrowwalk.Outcome{Attempt: attempt, Status: arrowwalk.OK, Latency: 40_000, Closed: true}
	fmt.Println("actions left:", len(s.Step(now+40_000, outcome)))
	// Output:
	// timer in 2499000
	// send request 7 to node a
	// actions left: 0
}
