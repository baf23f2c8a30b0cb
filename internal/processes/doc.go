// Package processes tests the product as separate processes on loopback: hosts,
// the platform stand-in and target stand-ins, driven by the command line and by
// the caller stand-in. The scenarios are the scripts in testdata.
package processes
