package ingress

import "time"

// Tracker follows the configuration as the store and peers show it.
type Tracker struct {
	table *Table
	// confirmedAt is the start of the newest read that showed the configuration
	// in force to be the newest one; confirmed is false before the first.
	confirmedAt time.Duration
	confirmed   bool
}

// Observe takes in a configuration that a read begun at started returned, and
// returns the new table if the version is newer than the one in force. An older
// version, which a stale source may show, changes and confirms nothing.
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

func (t *Tracker) confirm(started time.Duration) {
	if !t.confirmed || started > t.confirmedAt {
		t.confirmedAt, t.confirmed = started, true
	}
}

// Table returns the table in force, or nil before the first configuration.
func (t *Tracker) Table() *Table { return t.table }

// ConfirmedAt returns the start of the newest confirming read; ok is false
// before the first.
func (t *Tracker) ConfirmedAt() (at time.Duration, ok bool) { return t.confirmedAt, t.confirmed }
