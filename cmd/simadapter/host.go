package main

import (
	"errors"
	"fmt"

	"limeladder/balance"
	"limeladder/internal/simprotocol"
)

// host runs the instances that the simulator starts.
type host struct {
	decoder   *simprotocol.Decoder
	instances map[string]*balance.Balancer
}

func newHost() *host {
	return &host{
		decoder:   simprotocol.NewDecoder(),
		instances: map[string]*balance.Balancer{},
	}
}

// handleLine applies the batch in a line and returns the reply line. Invalid settings of an instance are reported as a
// crash of that instance. Any other fault in the batch is returned as an error.
func (h *host) handleLine(line []byte) ([]byte, error) {
	reply := &simprotocol.Reply{}
	batch, err := h.decoder.Decode(line)
	var settings *simprotocol.ConfigError
	switch {
	case errors.As(err, &settings):
		reply.Crash(settings.Instance, settings.Err.Error())
	case err != nil:
		return nil, err
	default:
		h.apply(batch, reply)
	}
	return reply.Encode()
}

// apply starts and stops instances as the batch says, and then passes each running instance its events, in the order of
// the batch, in a single step.
func (h *host) apply(batch simprotocol.Batch, reply *simprotocol.Reply) {
	events := map[string][]balance.Event{}
	var order []string // instances in the order of their first event
	for _, event := range batch.Events {
		name := event.Instance
		if _, seen := events[name]; !seen {
			order = append(order, name)
			events[name] = nil
		}
		switch {
		case event.Stop:
			delete(h.instances, name)
			events[name] = nil
		case event.Start != nil:
			instance, err := balance.New(event.Start.Config, event.Start.Seed)
			if err != nil {
				reply.Crash(name, err.Error())
				return
			}
			h.instances[name] = instance
			events[name] = nil // earlier events were for the previous instance of that name
		default:
			events[name] = append(events[name], event.Event)
		}
	}
	for _, name := range order {
		if instance := h.instances[name]; instance != nil {
			step(reply, name, instance, batch.Now, events[name])
		}
	}
}

// step runs one step of an instance and adds its actions to the reply. A panic is reported as a crash of the instance.
func step(reply *simprotocol.Reply, name string, instance *balance.Balancer, now balance.Time, events []balance.Event) {
	defer func() {
		if fault := recover(); fault != nil {
			reply.Crash(name, fmt.Sprint(fault))
		}
	}()
	reply.Add(name, instance.Step(now, events))
}
