package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/operator/api"
)

// process reads the resource usage of the measured entry from /proc.
type process struct{ pid int }

// ticksPerSecond is the unit of processor time in /proc: a hundredth of a second.
const ticksPerSecond = 100

// cpu returns the processor time used so far, system time included.
func (p process) cpu() (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid) + "/stat")
	if err != nil {
		return 0, err
	}
	// The fields after the name in parentheses; user and system time are the
	// 12th and 13th of them.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	user, err1 := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	if err1 != nil || err2 != nil {
		return 0, eris.New("/proc/PID/stat has another form")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// memory returns the resident memory in bytes.
func (p process) memory() (int64, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid) + "/status")
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, eris.New("/proc/PID/status has no VmRSS")
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10, err
}

// publish publishes the rules through the operators' API.
func publish(operators, token, file string) error {
	document, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	body, err := json.Marshal(api.PublishRequest{Document: string(document)})
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+operators+api.PathRules, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("rules not published: status %d", response.StatusCode)
	}
	return nil
}

// readyAttempts bounds the readiness checks, which are a tenth of a second apart.
const readyAttempts = 100

func awaitReady(address string) error {
	for range readyAttempts {
		response, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				// Leave time for the engines' first load reports.
				time.Sleep(time.Second)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return eris.New("the entry doesn't get ready")
}
