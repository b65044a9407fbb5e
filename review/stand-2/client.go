package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a kept channel of a client.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

// answer is what a client has got.
type answer struct {
	status int // 0 if there is none
	header http.Header
	body   []byte
	closes bool  // the channel closes with it
	err    error // if the answer is not complete
}

// send sends a request with a length and reads its answer until it ends or the deadline passes.
func (c *channel) send(method, host, path string, header map[string]string, body []byte, deadline time.Duration) answer {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, deadline.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: text, closes: resp.Close, err: err}
}

func (c *channel) close() { _ = c.conn.Close() }
