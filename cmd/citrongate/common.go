package main

import (
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

// Names of flags that several commands share.
const (
	flagAdmin     = "admin"
	flagToken     = "token"
	flagTokenFile = "token-file"
	flagCA        = "ca-file"
	flagOutput    = "output"
	flagTimeout   = "timeout"
)

// adminFlags returns the flags of commands that call the administration API.
func adminFlags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagAdmin, Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("CITRONGATE_ADMIN"),
			Usage: "administration `ADDRESS` of an instance; may be repeated, addresses are tried in order",
		},
		&cli.DurationFlag{Name: flagTimeout, Value: 15 * time.Second, Usage: "time limit of the command"},
	}, accessFlags()...)
}

// accessFlags returns the flags of all commands that call an instance.
func accessFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CITRONGATE_TOKEN"), Usage: "bearer `TOKEN`"},
		&cli.StringFlag{Name: flagTokenFile, Sources: cli.EnvVars("CITRONGATE_TOKEN_FILE"), Usage: "`FILE` that holds the bearer token"},
		&cli.StringFlag{Name: flagCA, Sources: cli.EnvVars("CITRONGATE_CA_FILE"), Usage: "PEM `FILE` with the certificate authorities to trust for https addresses"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT` of the output: json or table", Validator: checkOutput},
	}
}

func checkOutput(format string) error {
	if format != "json" && format != "table" {
		return fmt.Errorf("output format %q is not json or table", format)
	}
	return nil
}

func asJSON(command *cli.Command) bool { return command.String(flagOutput) == "json" }

// newAdmin returns a client of the administration API for the flags of a command.
func newAdmin(command *cli.Command) (*client.Admin, error) {
	token, err := readToken(command)
	if err != nil {
		return nil, err
	}
	httpClient, err := newHTTP(command)
	if err != nil {
		return nil, err
	}
	return &client.Admin{Addresses: command.StringSlice(flagAdmin), Token: token, HTTP: httpClient}, nil
}

// newHTTP returns an HTTP client that trusts the authorities in the CA file, or
// those of the system without one.
func newHTTP(command *cli.Command) (*http.Client, error) {
	path := command.String(flagCA)
	if path == "" {
		return client.NewHTTP(nil), nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, newUsageError("cannot read the authority file: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, newUsageError("%s holds no PEM certificate", path)
	}
	return client.NewHTTP(roots), nil
}

// readToken returns the token of --token, otherwise that of the token file, or ""
// if neither is given.
func readToken(command *cli.Command) (string, error) {
	if token := command.String(flagToken); token != "" {
		return token, nil
	}
	path := command.String(flagTokenFile)
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", newUsageError("cannot read the token file: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// parseLabels parses labels of the form key=value.
func parseLabels(pairs []string) (map[string]string, error) {
	labels := map[string]string{}
	for _, pair := range pairs {
		key, value, found := strings.Cut(pair, "=")
		if !found || key == "" {
			return nil, newUsageError("label %q is not of the form key=value", pair)
		}
		labels[key] = value
	}
	return labels, nil
}

// checkArguments returns the arguments of a command, or an error if their number is
// wrong.
func checkArguments(command *cli.Command, minArgs, maxArgs int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < minArgs || len(given) > maxArgs {
		return nil, newUsageError("%s takes %s; remedy: citrongate %s --help shows examples", command.Name, command.ArgsUsage, command.Name)
	}
	return given, nil
}

func writer(command *cli.Command) io.Writer {
	if w := command.Root().Writer; w != nil {
		return w
	}
	return os.Stdout
}

func errWriter(command *cli.Command) io.Writer {
	if w := command.Root().ErrWriter; w != nil {
		return w
	}
	return os.Stderr
}

// printRaw prints the JSON answer of an instance, indented.
func printRaw(command *cli.Command, raw []byte) error {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return client.Failed.Wrap(err, "the answer is not JSON")
	}
	return printJSON(command, value)
}

func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(writer(command))
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(command *cli.Command, header ...string) table {
	t := table{w: tabwriter.NewWriter(writer(command), 0, 0, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }
func (t table) flush() error        { return t.w.Flush() }
