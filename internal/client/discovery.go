package client

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// discoveryTimeout bounds one discovery call.
const discoveryTimeout = 3 * time.Second

// Discovery is an answer of GET /v1/discovery.
type Discovery struct {
	TTLMs       int64    `json:"ttl_ms"`
	Addresses   []string `json:"addresses"`
	Ticket      string   `json:"ticket"`
	TicketTTLMs int64    `json:"ticket_ttl_ms"`
}

// Directory knows the entries that calls may go to. It is safe for concurrent use.
type Directory struct {
	token string
	http  *http.Client

	mu    sync.Mutex
	seeds []string
	// current holds the newest answer and the entry that gave it.
	current Discovery
	issuer  string
	expires time.Time
	// avoided entries refused or broke a connection since the last answer.
	avoided map[string]bool
	// excluded entries are never used.
	excluded map[string]bool
}

// NewDirectory returns a directory that starts with the seeds, which are caller
// addresses of entries.
func NewDirectory(seeds []string, token string, http *http.Client) *Directory {
	return &Directory{seeds: seeds, token: token, http: http, avoided: map[string]bool{}, excluded: map[string]bool{}}
}

// Exclude keeps all calls away from an entry.
func (d *Directory) Exclude(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[address] = true
}

// route is where one attempt goes, with a ticket that this entry issued.
type route struct {
	address string
	ticket  string
}

// pick returns an entry for one attempt. If ticketed is true, the entry is the
// one that issued the ticket: if it is gone, the connection is refused before
// anything can run.
func (d *Directory) pick(ctx context.Context, ticketed bool) (route, error) {
	if err := d.refresh(ctx); err != nil {
		return route{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ticketed {
		return route{address: d.issuer, ticket: d.current.Ticket}, nil
	}
	usable := slices.DeleteFunc(slices.Clone(d.current.Addresses), func(a string) bool { return d.avoided[a] || d.excluded[a] })
	if len(usable) == 0 {
		return route{address: d.issuer}, nil
	}
	return route{address: usable[rand.IntN(len(usable))]}, nil
}

// avoid keeps away from an entry until the next discovery answer, and asks for
// a new answer if the entry gave the current one.
func (d *Directory) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[address] = true
	if d.issuer == address {
		d.expires = time.Time{}
	}
}

// refresh asks for a discovery answer if the current one is too old.
func (d *Directory) refresh(ctx context.Context) error {
	d.mu.Lock()
	valid := time.Now().Before(d.expires)
	candidates := d.candidates()
	d.mu.Unlock()
	if valid {
		return nil
	}
	var last error
	for _, address := range candidates {
		answer, err := d.ask(ctx, address)
		if err == nil {
			d.accept(address, answer)
			return nil
		}
		last = err
	}
	if errorx.IsOfType(last, Failed) {
		return last
	}
	return NotReached.New("no entry answered discovery: %v; remedy: name the caller address of a running entry with --entry", last)
}

// candidates returns all known entries in random order, avoided ones last; the
// caller holds the lock.
func (d *Directory) candidates() []string {
	known := slices.Concat(d.current.Addresses, d.seeds)
	slices.Sort(known)
	known = slices.DeleteFunc(slices.Compact(known), func(a string) bool { return d.excluded[a] })
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	slices.SortStableFunc(known, func(a, b string) int { return boolInt(d.avoided[a]) - boolInt(d.avoided[b]) })
	return known
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (d *Directory) accept(address string, answer Discovery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if strings.HasPrefix(address, "https://") {
		for i, listed := range answer.Addresses {
			answer.Addresses[i] = "https://" + listed
		}
	}
	d.current, d.issuer = answer, address
	d.expires = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
	clear(d.avoided)
}

func (d *Directory) ask(ctx context.Context, address string) (Discovery, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	var answer Discovery
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(address)+"/v1/discovery", nil)
	if err != nil {
		return answer, err
	}
	if d.token != "" {
		request.Header.Set("Authorization", "Bearer "+d.token)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, Failed.New("discovery was refused by %s: %s", address, parseRefusal(response, body, ""))
	}
	return answer, json.Unmarshal(body, &answer)
}
