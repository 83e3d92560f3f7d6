package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	sitesPlanTimeout  = 5 * time.Second // for the whole response
	sitesPlanMaxBytes = 16 << 20        // of a response body
)

// sitesPlan is the command sites plan, which asks a router for the state of its sites and the plans for their loss.
type sitesPlan struct {
	Operator string `arg:"" help:"The router's address for operators, host:port."`
	JSON     bool   `help:"As JSON, with the evidence."`
}

// run prints the report and returns the exit code.
func (c *sitesPlan) run(stdout, stderr io.Writer) (exitCode int) {
	report, err := c.fetch()
	if err != nil {
		fmt.Fprintln(stderr, "limeladder: sites plan:", err)
		return exitUsage
	}
	fmt.Fprintf(stdout, "%s", report)
	return exitOK
}

// fetch requests the report from the router.
func (c *sitesPlan) fetch() ([]byte, error) {
	url := "http://" + c.Operator + "/v1/sites"
	if !c.JSON {
		url += "?as=table"
	}
	client := http.Client{Timeout: sitesPlanTimeout}
	response, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, sitesPlanMaxBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
