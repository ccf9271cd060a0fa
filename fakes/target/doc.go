// Package target is a stand-in of one target VM: it serves requests in slots, counts what it ran and misbehaves on demand.
//
// A request may steer its own run by the headers Fake-Run-Ms, Fake-Answer-Bytes and Fake-Fault;
// the control address serves GET /ctl/runs and POST /ctl/{drain,undrain,reboot,assign,fault}.
package target
