package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a runner. While it is cut, nothing passes and nobody is answered; what was held up
// is lost when the cut ends, with the connections.
type proxy struct {
	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

func newProxy(address, to string) *proxy {
	pr := &proxy{conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", address)
	check(err)
	go func() {
		for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
			go pr.serve(nc, to)
		}
	}()
	return pr
}

func (pr *proxy) set(cut bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.isCut = cut
	if cut {
		return
	}
	for nc := range pr.conns {
		_ = nc.Close()
	}
}

func (pr *proxy) add(nc net.Conn) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.conns[nc] = true
}

func (pr *proxy) serve(nc net.Conn, to string) {
	pr.add(nc)
	defer func() { pr.remove(nc) }()
	pr.pause()
	rc, err := net.Dial("tcp", to)
	if err != nil {
		if tc, is := nc.(*net.TCPConn); is {
			_ = tc.SetLinger(0) // as from a port at which nothing listens
		}
		return
	}
	pr.add(rc)
	done := make(chan bool, 2)
	for _, pair := range [][2]net.Conn{{nc, rc}, {rc, nc}} {
		go func() {
			buffer := make([]byte, 16<<10)
			for {
				n, err := pair[0].Read(buffer)
				pr.pause()
				if n > 0 {
					if _, werr := pair[1].Write(buffer[:n]); werr != nil {
						break
					}
				}
				if err != nil {
					break
				}
			}
			done <- true
		}()
	}
	<-done
	pr.remove(rc)
}

func (pr *proxy) remove(nc net.Conn) {
	pr.mu.Lock()
	delete(pr.conns, nc)
	pr.mu.Unlock()
	_ = nc.Close()
}

// pause waits while the runner is cut off. The end of the cut closes all connections.
func (pr *proxy) pause() {
	for {
		pr.mu.Lock()
		cut := pr.isCut
		pr.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
