// Command demo is not built yet.
package main

func main() {}
