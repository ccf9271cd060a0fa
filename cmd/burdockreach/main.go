// Command burdockreach is not built yet.
package main

func main() {}
