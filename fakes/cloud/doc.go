// Package cloud is a stand-in of the platform: its key-value service, its lagging list of VMs and its calls on VMs, with faults.
package cloud
