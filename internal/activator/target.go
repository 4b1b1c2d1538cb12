package activator

import (
	"net"
	"net/url"
	"strings"
)

// TargetHost and TargetModel are replaced in the template of a target: by the host of a model's machine, and by the
// model's name in the request's path.
const (
	TargetHost  = "{host}"
	TargetModel = "{model}"
)

// DefaultTarget is the template where the operators set none.
const DefaultTarget = TargetHost + ":8000"

// Target returns the URL of a model's server on a machine, by a template such as "{host}:8000/{model}". An empty
// template is DefaultTarget. machine is the machine's address, with or without a port, which isn't used.
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
