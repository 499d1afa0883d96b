package ingress_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
	"github.com/citrongate/citrongate/pkg/routing"
)

// nameParts are joined to names that no grammar of labels, selectors or hosts admits.
var nameParts = []string{"a", "A", "b", "-", ".", "_", " ", ",", "=", "!", "(", ")", "/", "@", "é", "日本", "\n", "\x00", `"`, `\`, "in (a,b)",
	"service=a", ",version=a", "version", strings.Repeat("long-", 20)}

func oddName(random *rand.Rand) string {
	name := ""
	for range 1 + random.IntN(4) {
		name += nameParts[random.IntN(len(nameParts))]
	}
	return name
}

// oddSet is a configuration whose names are odd, with upstreams for its services.
type oddSet struct {
	config    *ingress.Config
	upstreams []ingress.Upstream
}

func newOddSet(random *rand.Rand) oddSet {
	s := oddSet{config: &ingress.Config{Version: 1}}
	for range 1 + random.IntN(6) {
		service := ingress.Service{Name: oddName(random), ModelEngine: random.IntN(2) == 0}
		if slices.ContainsFunc(s.config.Services, func(o ingress.Service) bool { return o.Name == service.Name }) {
			continue
		}
		s.config.Services = append(s.config.Services, service)
		s.config.Routes = append(s.config.Routes, ingress.Route{Name: oddName(random) + strconv.Itoa(len(s.config.Routes)), Host: "h", PathPrefix: "/", Kind: ingress.Stream, ModelCall: service.ModelEngine,
			Backends: []ingress.Backend{{Service: service.Name, Weight: 1}}})
		s.config.Organisations = append(s.config.Organisations, ingress.Organisation{Name: oddName(random)})
	}
	for i := range random.IntN(12) {
		service := oddName(random) // in few cases one of the configuration's
		if random.IntN(4) > 0 {
			service = s.config.Services[random.IntN(len(s.config.Services))].Name
		}
		s.upstreams = append(s.upstreams, ingress.Upstream{ID: fmt.Sprint(i), Incarnation: "1", Service: service, Address: "10.0.0.1:1",
			FailureDomain: oddName(random), Version: oddName(random), Slots: 1})
	}
	return s
}

// of returns the names of the upstreams of a service.
func (s oddSet) of(service string) (names []string) {
	for _, u := range s.upstreams {
		if u.Service == service {
			names = append(names, u.Name())
		}
	}
	slices.Sort(names)
	return names
}

// TestNamesAreData guards against a name that keeps a configuration from being built, or that sends
// requests to upstreams of another service, because it is read as a part of a selector.
func TestNamesAreData(t *testing.T) {
	const sets = 10_000
	random := rand.New(rand.NewPCG(47, 6))
	for i := range sets {
		s := newOddSet(random)
		table, err := routing.BuildWith(ingress.Objects(1, s.config, s.upstreams), routing.Options{IDsBySelector: true})
		require.NoError(t, err, "set %d: %+v", i, s)
		for n, service := range s.config.Services {
			route := &s.config.Routes[n]
			request := routing.Request{Kind: ingress.KindName(route, route.Priority), Organisation: s.config.Organisations[n].Name,
				Labels: map[string]string{ingress.LabelService: service.Name}}
			if service.ModelEngine {
				request.Model = ingress.AnyModel
			}
			target, err := table.Resolve(request)
			want := s.of(service.Name)
			if len(want) == 0 {
				require.Error(t, err, "set %d: %+v", i, s)
				continue
			}
			require.NoError(t, err, "set %d: %+v", i, s)
			require.Equal(t, want, classMembers(table, target), "set %d, service %q: %+v", i, service.Name, s)
		}
	}
}

// classMembers returns the names of the upstreams that may serve a target.
func classMembers(table *routing.Table, target routing.Target) (names []string) {
	pool := table.Pool(target.Pool)
	class, _ := pool.ClassIndex(target.Class)
	for _, u := range pool.Classes[class].Upstreams {
		names = append(names, pool.Upstreams[u].Name)
	}
	return names
}

// TestLabelsAreNotJoined guards against taking the upstreams of two services for each other because
// their labels, written one after the other, make the same text.
func TestLabelsAreNotJoined(t *testing.T) {
	config := &ingress.Config{Services: []ingress.Service{{Name: "a"}}, Routes: []ingress.Route{{Name: "r", Host: "h", PathPrefix: "/", Kind: ingress.Idempotent}}}
	upstreams := []ingress.Upstream{
		{ID: "1", Service: "a", Address: "10.0.0.1:1", Version: "x,type=service,version=y"},
		{ID: "2", Service: "a,type=service,version=x", Address: "10.0.0.1:2", Version: "y"},
	}
	for _, services := range [][]string{{"a"}, {"a,type=service,version=x"}, {"a", "a,type=service,version=x"}} {
		config.Services = nil
		for _, name := range services {
			config.Services = append(config.Services, ingress.Service{Name: name})
		}
		table, err := routing.BuildWith(ingress.Objects(1, config, upstreams), routing.Options{IDsBySelector: true})
		require.NoError(t, err)
		for _, name := range services {
			target, err := table.Resolve(routing.Request{Kind: "r@0", Organisation: ingress.NoOrganisation, Labels: map[string]string{ingress.LabelService: name}})
			require.NoError(t, err)
			require.Equal(t, oddSet{upstreams: upstreams}.of(name), classMembers(table, target))
		}
	}
}
