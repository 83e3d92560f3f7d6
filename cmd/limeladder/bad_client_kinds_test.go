package main

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

const (
	slowPiece = 8 << 10 // bytes that a slow client reads or writes at a time
	slowPause = 50 * time.Millisecond

	floodBytes     = 32 << 10 // bytes that a client sends at once at full speed
	badReadBuffer  = 16 << 10 // bytes of the receive buffer of a slow reader
	longStatement  = 400_000  // bytes
	manyFields     = 60_000   // of a request comment
	manyParameters = 1_500    // of a startup message
	newNamesAtOnce = 100
	badDeadline    = 3 * time.Second
)

// badClient is one connection of a bad client.
type badClient struct {
	conn   net.Conn
	number int
	stop   <-chan struct{}
}

// badClientKinds returns all kinds of bad clients.
func badClientKinds() []badClientKind {
	unsound := []byte("\x01\x02\x03\x04\x05\x06\x07\x08")
	unknownClass := badStatement("x", "nosuch", 0)
	longUnknown := badStatement("x", "nosuch", longStatement)
	return []badClientKind{
		{name: "none", always: true},
		{name: "stop half way", count: manyBadClients, always: true, play: (*badClient).stopHalfWay},
		{name: "write slowly", count: manyBadClients, always: true, play: (*badClient).writeSlowly},
		{name: "many fields", count: manyBadClients, always: true, play: flood(manyFieldsStatement())},
		{name: "many parameters", count: manyBadClients, play: (*badClient).sendManyParameters},
		{name: "long unknown class", count: manyBadClients, play: flood(longUnknown)},
		{name: "read long values slowly", count: manyBadClients, always: true, play: readSlowly(longValuePrefix, 1)},
		{name: "read many long values slowly", count: manyBadClients, play: readSlowly(longValuePrefix, 20)},
		{name: "read values slowly", count: manyBadClients, play: readSlowly(mediumValuePrefix, 1)},
		{name: "read many values slowly", count: manyBadClients, always: true, play: readSlowly(mediumValuePrefix, 50)},
		{name: "read nothing", count: manyBadClients, play: readNothing(mediumValuePrefix, 50)},
		{name: "empty", count: fewBadClients, always: true, play: flood(pgwire.AppendQuery(nil, ""))},
		{name: "empty, many clients", count: manyBadClients, play: flood(pgwire.AppendQuery(nil, ""))},
		{name: "sync", count: fewBadClients, always: true, play: flood(pgwire.Append(nil, 'S'))},
		{name: "unknown class", count: fewBadClients, play: flood(unknownClass)},
		{name: "no comment", count: fewBadClients, play: flood(pgwire.AppendQuery(nil, "SELECT 1"))},
		{name: "function call", count: fewBadClients, play: flood(pgwire.Append(nil, 'F', []byte("\x00\x00\x00\x00")))},
		{name: "unsound", count: manyBadClients, always: true, play: flood(unsound)},
		{name: "new ids", count: fewBadClients, play: (*badClient).sendNewIDs},
		{name: "connect and leave", count: 20, play: (*badClient).connectAndLeave},
		{name: "send much and leave", count: 20, play: (*badClient).sendMuchAndLeave},
		{name: "new names", count: fewBadClients, extended: true, always: true, play: (*badClient).prepareNewNames},
		{name: "new names, many clients", count: 150, extended: true, play: (*badClient).prepareNewNames},
		{name: "new portals", count: fewBadClients, extended: true, play: (*badClient).bindNewPortals},
		{name: "flush", count: fewBadClients, extended: true, play: flood(pgwire.Append(nil, 'H'))},
		{name: "extended sync", count: fewBadClients, extended: true, play: flood(pgwire.Append(nil, 'S'))},
		{name: "extended half", count: 150, extended: true, play: (*badClient).stopHalfWay},
	}
}

// badStatement returns a query message with a comment and so many bytes behind it.
func badStatement(id, class string, bytes int) []byte {
	text := statementWithin(id, class, badDeadline, 7)
	return pgwire.AppendQuery(nil, text+strings.Repeat(" ", bytes))
}

func manyFieldsStatement() []byte {
	var fields strings.Builder
	for i := range manyFields {
		fields.WriteString(strconv.FormatInt(int64(i), 36) + "=,")
	}
	return pgwire.AppendQuery(nil, "/* "+fields.String()+"id=x,c=look,d=900,cluster=7 */ SELECT 1")
}

// write sends data and reports whether the connection is still open.
func (b *badClient) write(data []byte) bool {
	_, err := b.conn.Write(data)
	return err == nil && !isClosed(b.stop)
}

// begin sends the startup message, and reads all answers without delay from then on.
func (b *badClient) begin() {
	go b.readAll()
	b.write(pgwire.AppendStartup(nil, "user", "bad"))
}

// readAll reads to the end of the connection.
func (b *badClient) readAll() {
	_, _ = io.Copy(io.Discard, b.conn) // it ends with the connection, however that ends
}

// flood sends a message again and again at full speed.
func flood(message []byte) func(b *badClient) {
	batch := slices.Repeat(message, max(1, floodBytes/len(message)))
	return func(b *badClient) {
		b.begin()
		for b.write(batch) {
		}
	}
}

// stopHalfWay sends half of a long statement and stays.
func (b *badClient) stopHalfWay() {
	message := badStatement("x", "look", longStatement)
	b.write(pgwire.AppendStartup(nil, "user", "bad"))
	b.write(message[:len(message)/2])
	b.readAll()
}

// writeSlowly sends long statements in small pieces.
func (b *badClient) writeSlowly() {
	b.begin()
	message := badStatement("x", "look", longStatement)
	for {
		for piece := range slices.Chunk(message, slowPiece) {
			if !b.write(piece) {
				return
			}
			time.Sleep(slowPause)
		}
	}
}

// sendManyParameters sends a startup message of many short parameters and stays.
func (b *badClient) sendManyParameters() {
	var parameters []string
	for i := range manyParameters {
		parameters = append(parameters, strconv.Itoa(i), "")
	}
	b.write(pgwire.AppendStartup(nil, parameters...))
	b.readAll()
}

// sendReads sends reads of values of the size that the prefix of their ids asks for.
func (b *badClient) sendReads(prefix string, count int) bool {
	_ = b.conn.(*net.TCPConn).SetReadBuffer(badReadBuffer) // as small as the system permits
	var reads []byte
	for i := range count {
		id := fmt.Sprintf("%s-%d-%d-%d", prefix, b.number, i, time.Now().UnixNano())
		reads = append(reads, badStatement(id, "look", 0)...)
	}
	return b.write(reads)
}

// readSlowly sends reads ahead and takes their answers in small pieces.
func readSlowly(prefix string, ahead int) func(b *badClient) {
	return func(b *badClient) {
		b.write(pgwire.AppendStartup(nil, "user", "bad"))
		piece := make([]byte, slowPiece)
		for b.sendReads(prefix, ahead) {
			for got := 0; got < longValueBytes; {
				n, err := b.conn.Read(piece)
				if err != nil {
					return
				}
				got += n
				time.Sleep(slowPause)
			}
		}
	}
}

// readNothing sends reads ahead, stays, and takes none of their answers.
func readNothing(prefix string, ahead int) func(b *badClient) {
	return func(b *badClient) {
		b.write(pgwire.AppendStartup(nil, "user", "bad"))
		b.sendReads(prefix, ahead)
		<-b.stop
	}
}

// sendNewIDs sends requests with new ids and sessions at full speed.
func (b *badClient) sendNewIDs() {
	b.begin()
	for batch := 0; ; batch++ {
		var requests []byte
		for i := range newNamesAtOnce {
			id := fmt.Sprintf("n-%d-%d-%d", b.number, batch, i)
			requests = pgwire.AppendQuery(requests, statementWithin(id, "look", badDeadline, 7)+" '"+id+"'")
		}
		if !b.write(requests) {
			return
		}
	}
}

// connectAndLeave connects under a new name, sends a statement and leaves with its answer.
func (b *badClient) connectAndLeave() {
	user := strconv.FormatInt(time.Now().UnixNano(), 36)
	b.write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", user), ""))
	b.conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = b.conn.Read(make([]byte, 100)) // it leaves whatever it got
}

// sendMuchAndLeave sends a megabyte of requests and leaves.
func (b *badClient) sendMuchAndLeave() {
	b.write(pgwire.AppendStartup(nil, "user", "bad"))
	b.write(slices.Repeat(badStatement("", "look", 100), 1<<13))
}

// prepareNewNames prepares statements under new names at full speed.
func (b *badClient) prepareNewNames() {
	b.begin()
	for batch := 0; ; batch++ {
		var messages []byte
		for i := range newNamesAtOnce {
			name := fmt.Sprintf("s-%d-%d", batch, i)
			query := statementWithin(name, "look", badDeadline, 7)
			messages = pgwire.AppendParse(messages, pgwire.ParseMessage{Name: name, Query: query})
			messages = pgwire.Append(messages, 'S')
		}
		if !b.write(messages) {
			return
		}
	}
}

// bindNewPortals binds portals under new names at full speed, within one unit of work.
func (b *badClient) bindNewPortals() {
	b.begin()
	query := statementWithin("x", "look", badDeadline, 7)
	b.write(pgwire.AppendParse(nil, pgwire.ParseMessage{Query: query}))
	for batch := 0; ; batch++ {
		var messages []byte
		for i := range newNamesAtOnce {
			name := fmt.Sprintf("p-%d-%d", batch, i)
			bind := pgwire.BindMessage{Portal: name, Rest: make([]byte, 6)}
			messages = pgwire.Append(pgwire.AppendBind(messages, bind), 'H')
		}
		if !b.write(messages) {
			return
		}
	}
}
