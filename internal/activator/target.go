package activator

import (
	"net"
	"net/url"
	"strings"
)

// TargetHost and TargetModel are placeholders in the template of a target. TargetHost is replaced by the host of the
// model's machine, and TargetModel by the model's name in the request's path.
const (
	TargetHost  = "{host}"
	TargetModel = "{model}"
)

// DefaultTarget is the template that is used if none is configured.
const DefaultTarget = TargetHost + ":8000"

// Target returns the URL of a model's server on a machine, from a template such as "{host}:8000/{model}". An empty
// template means DefaultTarget. machine is the machine's address; if it has a port, the port is ignored.
func Target(template, machine, model string) (*url.URL, error) {
	if template == "" {
		template = DefaultTarget
	}
	host, _, err := net.SplitHostPort(machine)
	if err != nil {
		host = machine
	}
	return url.Parse("http://" + strings.NewReplacer(TargetHost, host, TargetModel, model).Replace(template))
}
