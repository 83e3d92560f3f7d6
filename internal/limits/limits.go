// Package limits holds every size, count and time that bounds the program. It is filled once at the start and
// handed down.
package limits

import "time"

// Limits bounds what the program holds and how long it waits.
type Limits struct {
	Memory  int64 // bytes the Go runtime aims to stay under
	Garbage int   // it collects once garbage is this many hundredths of what is in use

	Startup  int // bytes of a startup message
	Message  int // bytes of any other message
	Answer   int // bytes of an answer of a db machine that is kept whole
	Row      int // bytes of a row of it that is passed on as it comes
	Inbox    int // bytes of one connection that have come and are not looked at yet; beyond them it is not read
	Stream   int // a row longer than this is passed on as it comes,
	Begin    int // once so much of it has come
	High     int // a client that has so much to take gets no more, and is not read either,
	Low      int // until no more than this is left
	Send     int // bytes that the system keeps of what a client has not taken
	Ahead    int // bytes that a client may send ahead while its request is in hand
	Buffered int // bytes of statements that all clients together may have waiting, prepared or in hand, and of answers

	Clients int // connections of clients
	// Clients hold a third of the descriptors at most for their requests, and those that ask once and stay hold theirs
	// too: with a third in use usual ones have none left to ask with, whatever the router has.
	ClientsEasy  int // beyond so many, those that ask for nothing are closed to make room,
	ClientsTight int // and beyond so many sooner
	Operators    int // connections of operators
	CallBytes    int // bytes of an operator's call
	Unread       int // bytes of answers that one client may leave unread
	Requests     int // requests in hand,
	Together     int // those of one connection
	Connections  int // connections to db machines, those being opened included
	PerMachine   int // the same for one db machine
	IdleMachine  int // idle connections kept to one db machine
	Listed       int // db machines that were ever listed
	Prepared     int // prepared statements and portals of one client
	ListBytes    int // bytes of an answer of discovery
	ListHeader   int // bytes of its header
	LogText      int // bytes of a log line of the decision module
	Held         int // requests that wait for a primary
	HeldBytes    int // bytes of their statements
	AuditRecords int // records that wait to become messages
	AuditBytes   int // bytes of them
	AuditHeads   int // messages from one head of the chain to the next
	SyslogWindow int // bytes of messages that wait in memory, or are not acknowledged
	SpoolSegment int // bytes of one segment of the spool
	SpoolBytes   int // bytes of all of it
	StoreQueue   int // writes waiting to be replicated
	StoreEntries int // entries kept in the store's log before it is cut

	Connect      time.Duration // until a db machine has welcomed a connection
	Redial       time.Duration // after this a connection that has not come up is dialled once more
	Probe        time.Duration // until a probe is answered
	Rest         time.Duration // a connection to a db machine carries nothing for this long behind an answer
	Stall        time.Duration // until a message of a db machine that has begun to come goes on,
	StreamStall  time.Duration // and until an answer does that is passed on already
	Idle         time.Duration // an idle connection older than this is not used
	AnswerBefore time.Duration // the final answer comes this long before the client gives up
	Flush        time.Duration // until a connection that is to be closed takes more of its last answer
	ComeAgain    time.Duration // a refusal for which the decision module gives no time says this
	ClientStart  time.Duration // until a client has sent its startup message
	ClientFirst  time.Duration // from then until its first command
	ClientPart   time.Duration // until more comes of a message that has begun to,
	ClientWhole  time.Duration // and until it is whole
	ClientUnit   time.Duration // until a unit of work that has begun goes on
	ClientUnread time.Duration // until a client has taken something of what it is sent
	ClientSilent time.Duration // one that has not started, or made a fault last, may be closed to make room after this,
	ClientTight  time.Duration // one with no open request may be closed after this when hardly a place is left,
	ClientMute   time.Duration // one that has started and asked for nothing yet after this,
	ClientIdle   time.Duration // and one with no open request after this
	ClientSweep  time.Duration // how often clients are looked at
	CallWhole    time.Duration // until an operator's call has come whole
	EmptyIdle    time.Duration // while the router is drained, a client's connection idle for this long is closed
	WatchWait    time.Duration // what a watch asks discovery to wait
	CallSlack    time.Duration // a call of discovery that does not wait fails after this: discovery drops what waits 2 s for its turn, and its word takes the way,
	WatchSlack   time.Duration // and a watch this long after its wait: what it had to tell counts as told by twice that
	WatchGap     time.Duration // the next call after one that did not wait and brought nothing: a watch goes on if it comes within 200 ms
	ListAgain    time.Duration // the longest wait after a call that brought no list, where the watch goes on by itself; 0 = it does not
	ListFirst    time.Duration // the router is ready without a list after this
	ListKnown    bool          // it starts from the list it knows, and asks for what has changed since only
	DrainAccept  time.Duration // connections are accepted for this long after SIGTERM
	DrainKept    time.Duration // the platform lets the program go on for this long after SIGTERM at least: what is taken late is answered by then
	DrainMost    time.Duration // the program ends at the latest this long after SIGTERM
	Sweep        time.Duration // how often idle connections are looked at
	Report       time.Duration // how often the counters are logged
	AuditGather  time.Duration // how often it is looked for records
	AuditTick    time.Duration // how often losses are told
	AuditEvery   time.Duration // the longest time from one head of the chain to the next
	SyslogUp     time.Duration // until a collector is connected
	SyslogStall  time.Duration // until it takes more
	SyslogFirst  time.Duration // the first wait behind a failure
	SyslogLast   time.Duration // the longest
	SyslogPrefer time.Duration // how often a preferred collector is tried again
	SyslogFlush  time.Duration // how long the program's end waits for collectors
	Share        time.Duration // how often what is shared with another process is looked at
}

// Among is what one router may ask of what so many share. Guards discovery: where many start at once it has a list's time
// for few of them. One watch from the version that is known costs it a part of a whole list and a watch behind it.
func (l Limits) Among(routers int) Limits {
	const few, some = 4, 10
	l.ListKnown = routers > few
	if routers <= some {
		// A watch that has fallen silent is found when its wait is over, and what it missed counts as told 6 s after it fell silent. A
		// few can ask so often, and have the time for a call that is late beside.
		l.WatchWait = 3 * time.Second
	}
	return l
}

// Pushed is how the list is followed where it is pushed to an agent on the router's own machine, which answers at no cost. What
// the agent has counts as told, heard or not, and sends must end within the grace: a call that is not answered is found and
// made again within three quarters of it, however it failed. Where no grace is given it is taken as the shortest one.
func (l Limits) Pushed(grace time.Duration) Limits {
	const shortest, longest = 200 * time.Millisecond, 2 * time.Second
	part := min(max(grace, shortest), longest) / 4
	l.WatchWait, l.WatchSlack, l.CallSlack, l.ListAgain = part, part, 2*part, part
	l.ListKnown = false           // a whole list costs nobody anything, and leaves nothing out
	l.ListFirst = 3 * time.Second // it counts as told from the first moment: what is known without it may be old
	return l
}

// Lean is what a process may use while another one of the same router is alive: the platform counts them as one. All
// clients come over to the new one before the old one is gone, and have no more connections than before: they keep more
// than a half.
func (l Limits) Lean() Limits {
	l.Memory, l.Garbage, l.Buffered = l.Memory/2, 100, l.Buffered/2
	l.HeldBytes /= 2
	l.AuditRecords, l.AuditBytes, l.SyslogWindow = l.AuditRecords/2, l.AuditBytes/2, l.SyslogWindow/2
	l.Clients, l.Connections, l.IdleMachine = l.Clients*2/3, l.Connections/2-1, max(2, l.IdleMachine/2)
	return l
}

// For fills the limits from what the platform grants and the settings say.
func For(memoryMB, sockets int, connect, idle, longest time.Duration) Limits {
	// A few descriptors belong to the runtime, pollers, listeners, discovery and syslog.
	const operators = 16
	// Those of connections that are ended and wait for their peer to end its side are beside (sock.Lingering).
	free := sockets - 32 - operators - max(1, sockets/32)
	// Values of several hundred KB come, in answers and in statements.
	most := min(1<<20, memoryMB<<20/64)
	// Values have up to 4 MiB. They are more than memory holds at once, so those beyond Stream are not kept.
	const row = 4<<20 + 64<<10
	return Limits{
		Memory: int64(memoryMB) << 20 * 3 / 5, // the rest is for what the collector does not see, and for its being late

		// What is in use is a few MB while answers of several hundred KB pass: at the usual 100 it would collect at
		// every few of them, on a part of a core.
		Garbage: 400,

		Startup: 10_000, Message: most, Answer: most, Row: row, Inbox: 64 << 10,
		Stream: 64 << 10, Begin: 32 << 10, High: 128 << 10, Low: 32 << 10, Send: 64 << 10, Ahead: 64 << 10, Buffered: memoryMB << 20 / 8,
		Operators: operators, CallBytes: 16 << 10,
		Clients: free * 7 / 10, ClientsEasy: sockets / 8, ClientsTight: sockets / 5, Unread: most + 256<<10, Connections: free * 3 / 10, PerMachine: max(8, free/8), IdleMachine: max(4, free/48),
		Requests: 4 * free, Together: max(4, free/16), Listed: 10_000, Prepared: 1024, ListBytes: 1 << 20, ListHeader: 16 << 10, LogText: 512,
		Held: 4 * free, HeldBytes: memoryMB << 20 / 16,
		AuditRecords: memoryMB << 20 / 32 / 512, AuditBytes: memoryMB << 20 / 32, AuditHeads: 256, SyslogWindow: memoryMB << 20 / 64,
		SpoolSegment: 256 << 10, SpoolBytes: 64 << 20, StoreQueue: 64, StoreEntries: 1024,

		Connect: connect, Redial: connect * 2 / 5, Probe: connect, Rest: 2 * time.Millisecond, Stall: connect, StreamStall: 10 * time.Second, Idle: idle * 3 / 4,
		AnswerBefore: 10 * time.Millisecond, Flush: 2 * time.Second, ComeAgain: time.Second,
		// A client that can't be served is owed an error or a close within 3 s of connecting.
		// A head may take 2 s.
		ClientStart: 2300 * time.Millisecond, ClientFirst: 2100 * time.Millisecond, ClientPart: 2300 * time.Millisecond, ClientWhole: 15 * time.Second,
		ClientUnit: 10 * time.Second, ClientUnread: 5 * time.Second,
		ClientSilent: 100 * time.Millisecond, ClientTight: 100 * time.Millisecond, ClientMute: 500 * time.Millisecond,
		ClientIdle: 2 * time.Second, ClientSweep: 50 * time.Millisecond,
		CallWhole: 2 * time.Second, EmptyIdle: time.Second,
		WatchWait: 5 * time.Second, CallSlack: 2*time.Second + connect, WatchSlack: time.Second, WatchGap: 50 * time.Millisecond, ListFirst: time.Second,
		DrainAccept: 500 * time.Millisecond, DrainKept: min(longest, 3*time.Second) + 600*time.Millisecond, DrainMost: longest + 600*time.Millisecond, Sweep: time.Second, Report: 10 * time.Second,
		AuditGather: 10 * time.Millisecond, AuditTick: 250 * time.Millisecond, AuditEvery: 10 * time.Second, SyslogUp: 3 * time.Second,
		SyslogStall: 5 * time.Second, SyslogFirst: 100 * time.Millisecond, SyslogLast: 10 * time.Second, SyslogPrefer: time.Minute,
		SyslogFlush: time.Second,
		Share:       100 * time.Millisecond,
	}
}
