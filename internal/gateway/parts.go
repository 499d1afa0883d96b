package gateway

import (
	"strconv"

	"github.com/citrongate/citrongate/internal/boottime"
	"github.com/citrongate/citrongate/internal/eventlog"
	"github.com/citrongate/citrongate/pkg/node"
	"github.com/citrongate/citrongate/pkg/poison"
)

// logPart logs a change of what is held of a part of prompts.
func (g *Gateway) logPart(a node.PartChanged) {
	line := eventlog.PromptPartChanged{
		Part: strconv.FormatUint(a.Record.Part, 16), Pool: a.Record.Pool, State: a.Record.State.String(),
		Ends: len(a.Record.Ends), Round: a.Record.Round, With: partsText(a.Record.With), Here: a.Here,
	}
	if a.Record.State == poison.Blocked {
		line.LeftMs = eventlog.Milliseconds(max(0, a.Record.Until-g.loop.FromBootTime(boottime.Now())))
	}
	g.log.Write(line)
}

// writePartRecord writes a record of a part to the store.
func (g *Gateway) writePartRecord(record poison.Record) {
	err := g.store.WritePartRecord(g.ctx, record)
	g.countStoreCall("parts", err)
	if err != nil {
		g.log.Write(eventlog.PromptPartNotWritten{Part: strconv.FormatUint(record.Part, 16), Error: err.Error()})
	}
	g.loop.Post(node.PartRecordWritten{Key: record.Key, OK: err == nil})
}

// deletePartRecord deletes a record of a part from the store. A failed call is repeated after
// the next read of the records.
func (g *Gateway) deletePartRecord(key poison.Key) {
	g.countStoreCall("parts", g.store.DeletePartRecord(g.ctx, key))
}

// readPartRecords reads the records of parts from the store.
func (g *Gateway) readPartRecords(current bool) {
	stored, faults, err := g.store.PartRecords(g.ctx, !current)
	g.countStoreCall("parts", err)
	g.logFaults(&g.partFaultsLoggedAt, "parts", faults)
	g.loop.Post(node.PartRecordsRead{OK: err == nil, Records: stored.Records, Lifts: stored.Lifts})
}
