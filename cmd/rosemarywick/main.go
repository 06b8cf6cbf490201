// Command rosemarywick runs a router for fleets in which each server owns its keys exclusively.
package main

func main() {}
