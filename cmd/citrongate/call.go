package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citrongate/citrongate/internal/client"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send one call to a model or a plain service through discovery",
		Description: `A call is sent again only if it is known not to have run, or if the same
idempotency key prevents a second run. With --repeatable, it is also sent again
after an incomplete answer; use this only for calls without side effects. The
answer is printed on standard output, and the outcome of each attempt on standard
error.

Examples:
  citrongate call --kind chat --model small --message "hello"
  citrongate call --kind price --data '{"article":7}' --repeatable
  citrongate call --kind book --data '{"seat":7}' --keyed
  citrongate call --kind book --data '{"seat":7}' --key order-4711 --first`,
		Flags: append([]cli.Flag{
			&cli.StringSliceFlag{
				Name: "entry", Value: []string{"127.0.0.1:8080"}, Sources: cli.EnvVars("CITRONGATE_ENTRY"),
				Usage: "caller `ADDRESS` of an entry instance; may be repeated, all addresses are tried",
			},
			&cli.StringFlag{Name: "kind", Required: true, Usage: "request `KIND`"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model; without it, the call goes to a plain service"},
			&cli.StringFlag{Name: "message", Usage: "user message of a model call"},
			&cli.StringFlag{Name: "system", Usage: "system message of a model call"},
			&cli.IntFlag{Name: "max-tokens", Usage: "maximum length of the answer in tokens; 0 takes that of the request kind"},
			&cli.BoolFlag{Name: "no-stream", Usage: "request the answer in one piece instead of a stream"},
			&cli.StringFlag{Name: "data", Usage: "body of a call to a plain service; @FILE reads a file"},
			&cli.StringFlag{Name: "content-type", Value: "application/json", Usage: "content type of the body"},
			&cli.BoolFlag{Name: "keyed", Usage: "send an idempotency key that is formed from a ticket of the entry instance"},
			&cli.StringFlag{Name: "key", Usage: "send this idempotency `KEY`"},
			&cli.BoolFlag{Name: "first", Usage: "state that no call with this --key was sent before"},
			&cli.BoolFlag{Name: "repeatable", Usage: "state that the call may run twice without harm"},
			&cli.DurationFlag{Name: "deadline", Value: 30 * time.Second, Usage: "time limit of the call, including retries"},
			&cli.StringSliceFlag{Name: "label", Usage: "`KEY=VALUE`; may be repeated"},
			&cli.IntFlag{Name: "attempts", Usage: "maximum number of attempts; 0 takes a default"},
		}, accessFlags()...),
		Action: runCall,
	}
}

func runCall(ctx context.Context, command *cli.Command) error {
	request, err := buildCall(command)
	if err != nil {
		return err
	}
	token, err := readToken(command)
	if err != nil {
		return err
	}
	httpClient, err := newHTTP(command)
	if err != nil {
		return err
	}
	if request.Stream && !request.Repeatable && !asJSON(command) {
		request.OnText = func(text string) { fmt.Fprint(writer(command), text) }
	}
	result, err := client.NewCaller(command.StringSlice("entry"), token, httpClient).Call(ctx, request)
	if err != nil {
		return err
	}
	if err := printResult(command, request, result); err != nil {
		return err
	}
	if !result.Complete {
		return client.Failed.New("not answered whole; ran: %s", result.Ran)
	}
	if result.Status >= http.StatusBadRequest {
		return client.Failed.New("the service itself answered HTTP status %d", result.Status)
	}
	return nil
}

// buildCall returns the call that the flags describe.
func buildCall(command *cli.Command) (*client.Request, error) {
	labels, err := parseLabels(command.StringSlice("label"))
	if err != nil {
		return nil, err
	}
	request := &client.Request{
		Kind: command.String("kind"), Model: command.String("model"), MaxTokens: command.Int("max-tokens"),
		Stream: !command.Bool("no-stream"), ContentType: command.String("content-type"),
		Key: command.String("key"), Keyed: command.Bool("keyed"), FirstUse: command.Bool("first"), Repeatable: command.Bool("repeatable"),
		Deadline: command.Duration("deadline"), Labels: labels, MaxAttempts: command.Int("attempts"),
	}
	if request.Key != "" && request.Keyed {
		return nil, newUsageError("--key and --keyed cannot be combined")
	}
	if request.FirstUse && request.Key == "" {
		return nil, newUsageError("--first requires --key")
	}
	if request.Model == "" {
		request.Stream = false
		request.Body, err = callBody(command.String("data"))
		return request, err
	}
	if command.String("message") == "" {
		return nil, newUsageError("a model call requires --message")
	}
	if system := command.String("system"); system != "" {
		request.Messages = append(request.Messages, client.Message{Role: "system", Content: system})
	}
	request.Messages = append(request.Messages, client.Message{Role: "user", Content: command.String("message")})
	return request, nil
}

// callBody returns data, or the content of a file if data is @FILE.
func callBody(data string) ([]byte, error) {
	if len(data) == 0 || data[0] != '@' {
		return []byte(data), nil
	}
	body, err := os.ReadFile(data[1:])
	if err != nil {
		return nil, newUsageError("cannot read the body: %v", err)
	}
	return body, nil
}

// printResult prints the answer, and each attempt on standard error.
func printResult(command *cli.Command, request *client.Request, result *client.Result) error {
	if asJSON(command) {
		return printJSON(command, resultJSON(result))
	}
	out := writer(command)
	switch {
	case !result.Complete:
	case request.OnText != nil:
		fmt.Fprintln(out)
	case request.Model != "":
		fmt.Fprintln(out, result.Text)
	default:
		fmt.Fprintln(out, strings.TrimSuffix(string(result.Body), "\n"))
	}
	for i, attempt := range result.Attempts {
		fmt.Fprintf(errWriter(command), "attempt %d: %s\n", i+1, attempt)
	}
	return nil
}

func resultJSON(result *client.Result) map[string]any {
	attempts := []string{}
	for _, attempt := range result.Attempts {
		attempts = append(attempts, attempt.String())
	}
	value := map[string]any{
		"whole": result.Complete, "ran": result.Ran, "attempts": attempts, "total_ms": result.Total.Milliseconds(),
	}
	if result.Key != "" {
		value["idempotency_key"] = result.Key
	}
	if result.Text != "" {
		value["text"], value["tokens"], value["first_token_ms"] = result.Text, result.Tokens, result.FirstToken.Milliseconds()
	}
	if len(result.Body) > 0 {
		value["body"] = string(result.Body)
		if json.Valid(result.Body) {
			value["body"] = json.RawMessage(result.Body)
		}
	}
	return value
}
