package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "create certificates and tokens for trials",
		Description: `Examples:
  citrongate keys certificates --dir keys --instance entry-1=10.0.0.1 --instance entry-2=10.0.0.2
  citrongate keys token`,
		Commands: []*cli.Command{certificatesCommand(), tokenCommand()},
		Action: func(_ context.Context, command *cli.Command) error {
			return newUsageError("keys requires the subcommand certificates or token; remedy: citrongate keys --help shows examples")
		},
	}
}

func certificatesCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificates",
		Usage: "create a trial certificate authority and a certificate for each instance in a directory",
		Description: `The files are for trials; use your organisation's own certificate authority in
production. If the directory already holds an authority, it is used again, so
that instances can be added later. Existing files are not overwritten.

Example:
  citrongate keys certificates --dir keys --instance entry-1=10.0.0.1`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: "instance", Required: true, Usage: "`NAME=IP` of an instance; may be repeated"},
			&cli.DurationFlag{Name: "valid", Value: 30 * 24 * time.Hour, Usage: "period for which the certificates are valid"},
		},
		Action: runCertificates,
	}
}

func tokenCommand() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "print a random token and its hash for an Organisation or Operator object",
		Description: `Example:
  citrongate keys token`,
		Action: func(_ context.Context, command *cli.Command) error {
			token := rand.Text()
			hash := sha256.Sum256([]byte(token))
			fmt.Fprintf(writer(command), "token       %s\ntokenSha256 %s\n", token, hex.EncodeToString(hash[:]))
			return nil
		},
	}
}
