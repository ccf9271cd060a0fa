// Package desk is the RPC protocol between entries. An entry forwards callers' requests about jobs to the owner of the jobs, and an owner
// has other entries make its calls to workers.
package desk
