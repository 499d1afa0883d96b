//go:build never

package citrongate

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/joomcode/errorx"
	_ "github.com/lesismal/nbio/nbhttp"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rs/zerolog"
	_ "github.com/stretchr/testify/require"
	_ "github.com/urfave/cli/v3"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "go.uber.org/goleak"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gopkg.in/ini.v1"
	_ "k8s.io/apimachinery/pkg/labels"
	_ "pgregory.net/rapid"
)
