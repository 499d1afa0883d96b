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

// adminFlags are the flags of commands that call the administration API.
func adminFlags() []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagAdmin, Value: []string{"127.0.0.1:8081"}, Sources: cli.EnvVars("CITRONGATE_ADMIN"),
			Usage: "administration `ADDRESS` of an instance; several are tried in order",
		},
		&cli.DurationFlag{Name: flagTimeout, Value: 15 * time.Second, Usage: "time for the whole command"},
	}, accessFlags()...)
}

// accessFlags are the flags of all commands that call an instance.
func accessFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CITRONGATE_TOKEN"), Usage: "bearer `TOKEN`"},
		&cli.StringFlag{Name: flagTokenFile, Sources: cli.EnvVars("CITRONGATE_TOKEN_FILE"), Usage: "`FILE` that holds the bearer token"},
		&cli.StringFlag{Name: flagCA, Sources: cli.EnvVars("CITRONGATE_CA_FILE"), Usage: "PEM `FILE` of the authority of https addresses"},
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

// newAdmin returns a client of the administration API.
func newAdmin(command *cli.Command) (*client.Admin, error) {
	token, err := readToken(command)
	if err != nil {
		return nil, err
	}
	transport, err := newHTTP(command)
	if err != nil {
		return nil, err
	}
	return &client.Admin{Addresses: command.StringSlice(flagAdmin), Token: token, HTTP: transport}, nil
}

func newHTTP(command *cli.Command) (*http.Client, error) {
	path := command.String(flagCA)
	if path == "" {
		return client.NewHTTP(nil), nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, usage("cannot read the authority file: %v", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, usage("%s holds no PEM certificate", path)
	}
	return client.NewHTTP(roots), nil
}

// readToken returns the token of --token, else that of the token file.
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
		return "", usage("cannot read the token file: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// parseLabels reads labels of the form key=value.
func parseLabels(pairs []string) (map[string]string, error) {
	labels := map[string]string{}
	for _, pair := range pairs {
		key, value, found := strings.Cut(pair, "=")
		if !found || key == "" {
			return nil, usage("label %q is not of the form key=value", pair)
		}
		labels[key] = value
	}
	return labels, nil
}

// arguments checks the number of arguments of a command.
func arguments(command *cli.Command, least, most int) ([]string, error) {
	given := command.Args().Slice()
	if len(given) < least || len(given) > most {
		return nil, usage("%s takes %s; remedy: citrongate %s --help shows examples", command.Name, command.ArgsUsage, command.Name)
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

// printRaw prints JSON that an instance sent, indented.
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
