package main

import "testing"

func TestMainReturns(t *testing.T) { t.Helper(); main() }
