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
		Usage: "make trial certificates and tokens",
		Description: `Examples:
  citrongate keys certificates --dir keys --instance entry-1=10.0.0.1 --instance entry-2=10.0.0.2
  citrongate keys token`,
		Commands: []*cli.Command{certificatesCommand(), tokenCommand()},
		Action: func(_ context.Context, command *cli.Command) error {
			return usage("keys takes certificates or token; remedy: citrongate keys --help shows examples")
		},
	}
}

func certificatesCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificates",
		Usage: "write a trial authority and a certificate for each instance to a directory",
		Description: `The files are for trials; use the organisation's own authority in production. An
authority that the directory holds already is used again, so that instances can
be added later. Existing instance files are not overwritten.

Example:
  citrongate keys certificates --dir keys --instance entry-1=10.0.0.1`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`DIRECTORY` to write to"},
			&cli.StringSliceFlag{Name: "instance", Required: true, Usage: "`NAME=IP` of an instance; may be repeated"},
			&cli.DurationFlag{Name: "valid", Value: 30 * 24 * time.Hour, Usage: "time for which the certificates are valid"},
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
