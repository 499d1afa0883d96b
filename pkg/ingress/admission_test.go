package ingress_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/citrongate/citrongate/pkg/ingress"
)

// TestJudge guards against answering a valid request with 401 or 404 because of an
// outdated configuration, and against accepting a key that may have been revoked.
func TestJudge(t *testing.T) {
	bounds := ingress.Bounds{Apply: 2 * time.Second, Revoke: 5 * time.Second}
	lenient := ingress.Bounds{Apply: 2 * time.Second}
	const read = 10 * time.Second
	confirmed := ingress.Confirmation{At: read, Known: true}
	table := ingress.NewTable(&ingress.Config{
		Routes: []ingress.Route{
			{Name: "keyed", Host: "h", PathPrefix: "/a/"},
			{Name: "public", Host: "h", PathPrefix: "/p/", Public: true},
		},
		Organisations: []ingress.Organisation{{Name: "o", Keys: []string{"k"}}},
		KeysRequired:  true,
	})
	cases := []struct {
		what      string
		age       time.Duration
		bounds    ingress.Bounds
		path, key string
		want      ingress.Verdict
	}{
		{"known key", time.Second, bounds, "/a/x", "k", ingress.Admitted},
		{"known key, configuration not confirmed within Apply", 4 * time.Second, bounds, "/a/x", "k", ingress.Admitted},
		{"request that could reach its upstream after the bound for revocations", 4600 * time.Millisecond, bounds, "/a/x", "k", ingress.RevocationUnconfirmed},
		{"old configuration, revocation not strict", time.Hour, lenient, "/a/x", "k", ingress.Admitted},
		{"unknown key", time.Second, bounds, "/a/x", "other", ingress.NoKey},
		{"no key", time.Second, bounds, "/a/x", "", ingress.NoKey},
		{"key that may have been added", 2 * time.Second, bounds, "/a/x", "other", ingress.KeyUnconfirmed},
		{"unknown route", time.Second, bounds, "/z/", "k", ingress.NoRoute},
		{"route that may have been added", 2 * time.Second, bounds, "/z/", "k", ingress.RouteUnconfirmed},
		{"public route of an old configuration", time.Hour, bounds, "/p/x", "", ingress.Admitted},
	}
	for _, c := range cases {
		judgement := table.Admit(read+c.age, confirmed, c.bounds, "h", c.path, c.key)
		require.Equal(t, c.want, judgement.Verdict, c.what)
		require.Equal(t, c.want == ingress.Admitted && c.key != "", judgement.Organisation != nil, c.what)
	}
	require.Equal(t, ingress.RevocationUnconfirmed, table.Admit(0, ingress.Confirmation{}, bounds, "h", "/a/x", "k").Verdict, "never confirmed")
}

// TestNoOrganisationIsLeft guards against admitting requests after the last organisation was removed.
func TestNoOrganisationIsLeft(t *testing.T) {
	table := ingress.NewTable(&ingress.Config{Routes: []ingress.Route{{Name: "keyed", Host: "h", PathPrefix: "/"}}, KeysRequired: true})
	confirmed := ingress.Confirmation{Known: true}
	for _, key := range []string{"", "k"} {
		require.Equal(t, ingress.NoKey, table.Admit(0, confirmed, ingress.Bounds{Apply: time.Second}, "h", "/x", key).Verdict)
	}
}
