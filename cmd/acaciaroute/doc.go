// Command acaciaroute runs the processes of the system and provides the operators' tools.
package main
