// Command harness2 plays the cases of the second review that cannot be put as a day of the bench.
// It starts hosts as separate processes and stand-ins for the store, the targets and the callers,
// all on loopback addresses. Its exit status is 1 if a rule was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(record string, trouble bool) (int, error){
	"memory":  playMemory,
	"deaf":    playDeaf,
	"recover": playRecover,
	"refused": playRefused,
	"restart": playRestart,
}

func main() {
	name := flag.String("case", "", "case to play")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(notRun)
	}
	status, err := play(*record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = notRun
	}
	os.Exit(status)
}

// get returns the status of a GET request, 0 if there is no answer within a second.
func get(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
