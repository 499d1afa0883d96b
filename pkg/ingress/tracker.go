package ingress

import "time"

// Tracker holds the newest configuration read from the store or received from peers,
// and when it was last confirmed to be the newest.
type Tracker struct {
	table        *Table
	confirmation Confirmation
}

// Observe processes a configuration returned by a read that began at started, and
// returns the new table if the version is newer than the one in force. An older
// version, which a stale source may return, changes and confirms nothing.
func (t *Tracker) Observe(started time.Duration, config *Config) *Table {
	if t.table != nil && config.Version < t.table.config.Version {
		return nil
	}
	t.confirm(started)
	if t.table != nil && config.Version == t.table.config.Version {
		return nil
	}
	t.table = NewTable(config)
	return t.table
}

// Confirm processes the report of another instance that at time at the store held the
// given version. It returns false if that is not the version in force.
func (t *Tracker) Confirm(at time.Duration, version uint64) bool {
	if t.table == nil || version != t.table.config.Version {
		return false
	}
	t.confirm(at)
	return true
}

func (t *Tracker) confirm(started time.Duration) {
	if !t.confirmation.Known || started > t.confirmation.At {
		t.confirmation = Confirmation{At: started, Known: true}
	}
}

// Table returns the table in force, or nil before the first configuration.
func (t *Tracker) Table() *Table { return t.table }

// Confirmation returns the most recent confirmation of the table in force.
func (t *Tracker) Confirmation() Confirmation { return t.confirmation }
