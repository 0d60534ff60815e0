// Command acaciaroute runs the system's processes and the operators' tools.
package main
