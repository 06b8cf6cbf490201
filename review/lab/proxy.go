package main

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target. It can make single connections fall silent.
type proxy struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// silence is asked with each piece that the target sends, with what the client last sent, and returns how many bytes of the
	// piece are passed on before the connection falls silent for good, or a negative number if it does not.
	silence func(request, piece []byte) int
}

// pieceSize is the most that is passed on at once.
const pieceSize = 16 << 10

// startProxy starts a proxy on a free port.
func startProxy(target string) (*proxy, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(conn)
		}
	}()
	return p, nil
}

// address returns the address of the proxy.
func (p *proxy) address() string { return p.listener.Addr().String() }

// setSilence sets the function that makes connections fall silent.
func (p *proxy) setSilence(silence func(request, piece []byte) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = silence
}

// pass passes one connection on.
func (p *proxy) pass(client net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	var mu sync.Mutex
	var request []byte
	silent := false
	closeBoth := func() {
		mu.Lock()
		defer mu.Unlock()
		if !silent { // nothing is heard of a silent connection, not even its end
			_ = client.Close()
		}
		_ = target.Close()
	}
	go func() {
		defer closeBoth()
		buffer := make([]byte, pieceSize)
		for {
			n, err := client.Read(buffer)
			mu.Lock()
			if silent {
				mu.Unlock()
				if err != nil {
					_ = client.Close()
					return
				}
				continue
			}
			if bytes.HasPrefix(buffer[:n], []byte("GET ")) || bytes.HasPrefix(buffer[:n], []byte("POST ")) {
				request = append([]byte(nil), buffer[:n]...)
			}
			mu.Unlock()
			if _, writeErr := target.Write(buffer[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}()
	buffer := make([]byte, pieceSize)
	for {
		n, err := target.Read(buffer)
		if err != nil {
			closeBoth()
			return
		}
		p.mu.Lock()
		silence := p.silence
		p.mu.Unlock()
		if silence != nil {
			mu.Lock()
			if passed := silence(request, buffer[:n]); passed >= 0 {
				silent = true
				mu.Unlock()
				_, _ = client.Write(buffer[:min(passed, n)])
				return
			}
			mu.Unlock()
		}
		if _, err := client.Write(buffer[:n]); err != nil {
			closeBoth()
			return
		}
	}
}
