package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

const shutdownTime = 2 * time.Second

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on; port 0 takes a free port"}
}

// serve answers HTTP requests until the context ends. It prints one line with
// the address once it listens.
func serve(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Printf("%s listening on %s\n", name, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
		defer cancel()
		if server.Shutdown(limit) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
