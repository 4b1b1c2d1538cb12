package protocol

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// checker keeps the first thing found wrong.
type checker struct {
	file string
	err  error
}

// optional is amount for a figure that may be left out.
func (c *checker) optional(field string, v, least float64) float64 {
	if v == 0 {
		return 0
	}
	return c.amount(field, v, least)
}

func (c *checker) fail(field, reason string) {
	if c.err == nil {
		c.err = &FieldError{c.file, field, reason}
	}
}

func (c *checker) text(field, v string) string {
	if v == "" {
		c.fail(field, "is missing or empty")
	}
	return v
}

func (c *checker) addr(field, v string) string {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || perr != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		c.fail(field, fmt.Sprintf("%q is not an IP address with a port", v))
	}
	return v
}

func (c *checker) amount(field string, v, least float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < least {
		c.fail(field, fmt.Sprintf("is missing or out of range (at least %g)", least))
		return least
	}
	return v
}

func (c *checker) duration(field string, v, least float64) time.Duration {
	const most = 1e9
	if v > most {
		c.fail(field, "is out of range")
		return 0
	}
	return time.Duration(c.amount(field, v, least) * float64(time.Second))
}

func (c *checker) count(field string, v, least int) int {
	if v < least {
		c.fail(field, fmt.Sprintf("is missing or out of range (at least %d)", least))
	}
	return v
}

func (c *checker) parseCount(field, v string, least, most int) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		c.fail(field, fmt.Sprintf("must be a whole number from %d to %d", least, most))
	}
	return n
}

func (c *checker) parseAmount(field, v string, least, most float64) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || x < least || x > most {
		c.fail(field, fmt.Sprintf("must be a number from %g to %g", least, most))
	}
	return x
}
