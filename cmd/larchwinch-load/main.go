// Command larchwinch-load sends load and checks every answer.
package main

func main() {}
