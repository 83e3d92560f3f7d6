package simprotocol

import (
	"encoding/json"

	"limeladder/balance"
	"limeladder/internal/config"
)

// Commands of events.
const (
	commandPool      = "Pool"
	commandStart     = "Start"
	commandDown      = "Down"
	commandMembers   = "Members"
	commandRequest   = "Request"
	commandOutcome   = "Outcome"
	commandPong      = "Pong"
	commandLeft      = "Left"
	commandFirstByte = "FirstByte"
	commandWake      = "Wake"
	commandMail      = "Mail"
)

// Names of the values in the result of a health check.
const (
	telemetryPosition = "x0" // replication position in seconds since the origin of the instance
	telemetryPrimary  = "x1" // 1 = the endpoint is the primary
)

// rawBatch is a line of input before decoding. The names of this type and of rawEvent appear in error messages.
type rawBatch struct {
	TsNs     *int64          `json:"TsNs"`
	Arrivals json.RawMessage `json:"arrivals"`
}

// rawEvent has the fields of all events. The names of its fields are those on the wire.
type rawEvent struct {
	Cmd, Who                   string
	Ticket, Node, Reason       string
	Project                    tenant
	TierClass, Data            string
	Leg                        int
	Slot, Kind, Author         int
	Nonce64                    uint64
	Label                      int64
	TookNs, ExpiresInNs, Stand int64
	EstimateNs, ClientKey      int64
	Rev                        json.Number
	PartitionNo, SinceWriteMs  float64
	Finished, AgainByClient    bool
	IsWrite                    bool
	Telemetry                  map[string]float64
	Params                     *config.Settings
	Members                    []rawEntry
}

// rawEntry is an entry of an endpoint list.
type rawEntry struct {
	Node, Locality string
	Group          int64
	Lifecycle      int
	Leader, Weight float64 // Weight is only decoded to check its type
	ReadyAtNs      int64
}

// tenant is the name of a tenant. On the wire 0 means that there is none.
type tenant string

// UnmarshalJSON implements json.Unmarshaler.
func (t *tenant) UnmarshalJSON(b []byte) error {
	if string(b) == "0" || string(b) == "null" {
		return nil
	}
	var name string
	if err := json.Unmarshal(b, &name); err != nil {
		return err
	}
	*t = tenant(name)
	return nil
}

// statuses maps the reasons on the wire to the status of an attempt or a health check.
var statuses = map[string]balance.Status{
	"done":         balance.StatusDone,
	"err":          balance.StatusError,
	"busy":         balance.StatusBusy,
	"etimedout":    balance.StatusTimedOut,
	"econnrefused": balance.StatusConnectFailed,
	"econnreset":   balance.StatusReset,
	"ecanceled":    balance.StatusCancelled,
	"skipped":      balance.StatusNotSent,
	"enoent":       balance.StatusMiss,
}
