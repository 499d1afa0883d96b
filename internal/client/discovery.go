package client

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// discoveryTimeout is the timeout of one discovery request.
const discoveryTimeout = 3 * time.Second

// Discovery is the body of an answer to GET /v1/discovery.
type Discovery struct {
	TTLMs       int64    `json:"ttl_ms"`
	Addresses   []string `json:"addresses"`
	Ticket      string   `json:"ticket"`
	TicketTTLMs int64    `json:"ticket_ttl_ms"`
}

// Directory holds the entry instances to which calls may be sent, as known from
// discovery. It is safe for concurrent use.
type Directory struct {
	token string
	http  *http.Client

	mu    sync.Mutex
	seeds []string
	// current is the latest discovery answer, issuer the entry that gave it.
	current Discovery
	issuer  string
	expires time.Time
	// avoided holds entries at which a call was not answered completely since the
	// latest discovery answer.
	avoided map[string]bool
	// excluded holds entries that are never used.
	excluded map[string]bool
}

// NewDirectory returns a directory that first asks the seeds, caller addresses of
// entry instances, for discovery.
func NewDirectory(seeds []string, token string, http *http.Client) *Directory {
	return &Directory{seeds: seeds, token: token, http: http, avoided: map[string]bool{}, excluded: map[string]bool{}}
}

// Exclude prevents all further calls to an entry.
func (d *Directory) Exclude(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excluded[address] = true
}

// route is the entry for one attempt and, if requested, a ticket that this entry
// issued.
type route struct {
	address string
	ticket  string
}

// chooseRoute returns an entry for one attempt. If ticketed is true, it is the entry
// that issued the current ticket: if that entry has ended, the connection is
// refused before anything can run.
func (d *Directory) chooseRoute(ctx context.Context, ticketed bool) (route, error) {
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

// avoid marks an entry as not to be used until the next discovery answer. If that
// entry gave the current answer, the answer expires at once.
func (d *Directory) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[address] = true
	if d.issuer == address {
		d.expires = time.Time{}
	}
}

// refresh fetches a new discovery answer if the current one has expired.
func (d *Directory) refresh(ctx context.Context) error {
	d.mu.Lock()
	valid := time.Now().Before(d.expires)
	candidates := d.candidates()
	d.mu.Unlock()
	if valid {
		return nil
	}
	var lastErr error
	for _, address := range candidates {
		answer, err := d.fetch(ctx, address)
		if err == nil {
			d.accept(address, answer)
			return nil
		}
		lastErr = err
	}
	if errorx.IsOfType(lastErr, Failed) {
		return lastErr
	}
	return NotReached.New("no entry answered discovery: %v; remedy: name the caller address of a running entry with --entry", lastErr)
}

// candidates returns all known entries that are not excluded in random order,
// avoided ones last. The caller must hold d.mu.
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

// accept stores the discovery answer of an entry. The listed addresses get the
// scheme https if the entry was asked with it.
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

func (d *Directory) fetch(ctx context.Context, address string) (Discovery, error) {
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
	body, err := readAnswer(response)
	if err != nil {
		return answer, err
	}
	if response.StatusCode != http.StatusOK {
		return answer, Failed.New("discovery was refused by %s: %s", address, parseRefusal(response, body, ""))
	}
	return answer, json.Unmarshal(body, &answer)
}
