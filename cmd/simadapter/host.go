package main

import (
	"errors"
	"fmt"

	"limeladder/balance"
	"limeladder/internal/simprotocol"
)

// host runs the instances that the simulator has started.
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

// answer applies one batch and returns the reply line. Settings that an instance can't run with are a crash of that
// instance; any other fault of the batch is an error.
func (h *host) answer(line []byte) ([]byte, error) {
	reply := &simprotocol.Reply{}
	batch, err := h.decoder.Decode(line)
	var settings *simprotocol.ConfigError
	switch {
	case errors.As(err, &settings):
		reply.Crash(settings.Who, settings.Err.Error())
	case err != nil:
		return nil, err
	default:
		h.apply(batch, reply)
	}
	return reply.Encode()
}

// apply gives each instance its own events only, in their order, in one step.
func (h *host) apply(batch simprotocol.Batch, reply *simprotocol.Reply) {
	events := map[string][]balance.Event{}
	var order []string // in which the instances first appear
	for _, event := range batch.Events {
		who := event.Who
		if _, seen := events[who]; !seen {
			order = append(order, who)
			events[who] = nil
		}
		switch {
		case event.Down:
			delete(h.instances, who)
			events[who] = nil
		case event.Start != nil:
			instance, err := balance.New(event.Start.Config, event.Start.Seed)
			if err != nil {
				reply.Crash(who, err.Error())
				return
			}
			h.instances[who] = instance
			events[who] = nil // what came before was for the earlier instance of that name
		default:
			events[who] = append(events[who], event.Event)
		}
	}
	for _, who := range order {
		if instance := h.instances[who]; instance != nil {
			step(reply, who, instance, batch.Now, events[who])
		}
	}
}

// step passes a panic of the decision code on as the crash action.
func step(reply *simprotocol.Reply, who string, instance *balance.Balancer, now balance.Time, events []balance.Event) {
	defer func() {
		if fault := recover(); fault != nil {
			reply.Crash(who, fmt.Sprint(fault))
		}
	}()
	reply.Add(who, instance.Step(now, events))
}
