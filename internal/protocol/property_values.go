package protocol

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parseCount parses a whole number from minimum to maximum, both inclusive.
func (v *validator) parseCount(key, value string, minimum, maximum int) int {
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		v.fail(key, fmt.Sprintf("must be a whole number from %d to %d", minimum, maximum))
	}
	return n
}

// parseNumber parses a number from minimum to maximum, both inclusive.
func (v *validator) parseNumber(key, value string, minimum, maximum float64) float64 {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || x < minimum || x > maximum {
		v.fail(key, fmt.Sprintf("must be a number from %g to %g", minimum, maximum))
	}
	return x
}

// parseBool parses a boolean in any form that strconv.ParseBool accepts, such as true or 1.
func (v *validator) parseBool(key, value string) bool {
	b, err := strconv.ParseBool(value)
	if err != nil {
		v.fail(key, "must be true or false")
	}
	return b
}

// parseDuration parses a positive duration in the syntax of time.ParseDuration. The error text shows example as a valid
// value.
func (v *validator) parseDuration(key, value, example string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		v.fail(key, "must be a positive duration such as "+example)
	}
	return d
}

// parseNames parses distinct names that are separated by commas.
func (v *validator) parseNames(key, value string) []string {
	var names []string
	for name := range strings.SplitSeq(value, ",") {
		name = strings.TrimSpace(name)
		if name == "" || slices.Contains(names, name) {
			v.fail(key, "must be names, each once, separated by commas")
			return nil
		}
		names = append(names, name)
	}
	return names
}

// parseListenAddress parses an IP address with a port. A value without a host, such as ":8082", gets the host of
// defaultHostAddr.
func (v *validator) parseListenAddress(key, value, defaultHostAddr string) string {
	if host, _, err := net.SplitHostPort(defaultHostAddr); err == nil && strings.HasPrefix(value, ":") {
		value = host + value
	}
	return v.address(key, value)
}
