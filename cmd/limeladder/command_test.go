package main

import (
	"bytes"
	"strings"
	"testing"
)

// Invalid arguments produce one line and exit code 2. The command run selects the daemon.
func TestCommandLineExitCodes(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir+"/empty", "")
	writeFile(t, dir+"/bad", "<7>1 x\n")
	for arguments, want := range map[string]int{
		"nonsense":           2,
		"audit":              2,
		"audit verify":       2,
		"audit verify /none": 2,
		"audit verify --keys /none " + dir + "/empty":           2,
		"audit verify --keys " + dir + "/bad " + dir + "/empty": 2,
		"audit verify --what x":                                 2,
		"--help":                                                0,
		"audit verify " + dir + "/empty":                        3,
		"audit verify -q " + dir + "/bad":                       1,
		"audit verify -":                                        3,
	} {
		t.Run(arguments, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			startDaemon, code := runCommand(strings.Fields(arguments), strings.NewReader(""), &stdout, &stderr)
			if startDaemon || code != want {
				t.Errorf("got startDaemon %v, exit code %d, want false and the exit code of the case; stdout %q, stderr %q",
					startDaemon, code, &stdout, &stderr)
			}
			oneLineOnly := strings.Count(stderr.String(), "\n") == 1 && stdout.Len() == 0
			if want == exitUsage && !oneLineOnly {
				t.Errorf("want one line on stderr only, got stdout %q, stderr %q", &stdout, &stderr)
			}
		})
	}
	if startDaemon, _ := runCommand([]string{"run"}, nil, nil, nil); !startDaemon {
		t.Error("the command run does not start the daemon")
	}
}
