package protocol

import (
	"testing"
	"time"
)

// smallClassObjective is an objective for the class "small". If the settings have objectives, activation.classes may only
// name classes that have one.
const smallClassObjective = "[[params.objectives]]\nkind = \"wait\"\nclass = \"small\"\nwithin_s = 1.0\nshare = 0.9\n"

func TestActivationProperties(t *testing.T) {
	for file, wantError := range map[string]string{
		"activation.classes = small\nactivation.listen = :8082\nactivation.target = {host}:9000/{model}\nactivation.idle.window = 5m\nactivation.hold = 10s\n": "",
		"activation.classes = small\n":                                    "p: activation.classes: needs activation.listen",
		"activation.classes = small, small\n":                             "p: activation.classes: must be names, each once",
		"activation.classes =\n":                                          "p: activation.classes: must be names",
		"activation.classes = unheard-of\n":                               `p: activation.classes: class "unheard-of" has no objective`,
		"activation.listen = 10.0.0.1:8082\n":                             "p: activation.listen: needs activation.classes",
		"activation.classes = small\nactivation.listen = 10.0.0.1:8080\n": "p: activation.listen: is in use",
		"activation.classes = small\nactivation.listen = here\n":          "p: activation.listen: ",
		"activation.target = 10.0.0.1:8000\n":                             "p: activation.target: must be an address with a port, with {host}",
		"activation.target = {host}\n":                                    "p: activation.target: ",
		"activation.idle.window = 1s\n":                                   "p: activation.idle.window: must not be shorter than report_s",
		"activation.idle.window = -5m\n":                                  "p: activation.idle.window: must be a positive duration",
		"activation.cooldown = 2s\n":                                      "p: activation.cooldown: must be longer than 3s, the longest time for which a controller may use one response of the leader",
		"activation.start.timeout = 1s\nactivation.start.backoff = 2s\n":  "p: activation.start.timeout: must not be shorter than activation.start.backoff",
		"activation.start.attempts = 0\n":                                 "p: activation.start.attempts: ",
		"activation.hold.requests = 0\n":                                  "p: activation.hold.requests: ",
		"activation.hold.requests = 94\n":                                 "p: activation.hold.requests: must not be above 93",
		"activation.concurrent = none\n":                                  "p: activation.concurrent: ",
		"activation.body.bytes = 0\n":                                     "p: activation.body.bytes: ",
		"activation.drain.timeout = 0s\n":                                 "p: activation.drain.timeout: ",
		"activation.start.stable = soon\n":                                "p: activation.start.stable: ",
		"activation.idle = 5m\n":                                          "p: activation.idle: unknown property",
	} {
		t.Run(file, func(t *testing.T) {
			s := parseTestSettings(t, smallClassObjective)
			tuning := &s.Tuning.Activation
			if len(tuning.Classes) != 0 || tuning.Listen != "" {
				t.Errorf("activation is on by default: %+v", tuning)
			}
			err := parseProperties("p", []byte(file), s)
			if wantError != "" {
				checkFieldError(t, err, wantError)
				return
			}
			if err != nil || tuning.Listen != "10.0.0.1:8082" || tuning.HoldTimeout != 10*time.Second || tuning.Policy.IdleWindow != 5*time.Minute {
				t.Errorf("tuning is %+v, %v", tuning, err)
			}
		})
	}
}
