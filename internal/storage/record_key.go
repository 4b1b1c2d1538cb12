package storage

import "strconv"

// Kinds of record, by the first letter of their keys.
const (
	KindJob          = 'j'
	KindPage         = 'p'
	KindMachine      = 'm'
	KindLaunch       = 'h'
	KindFleet        = 'f'
	KindMachineTypes = 'c'
)

// FleetKey and MachineTypesKey are the keys of the two records that exist once.
const (
	FleetKey        = "f"
	MachineTypesKey = "c"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return "j" + id }

// PageKey returns the key of the record of one page of a job's tasks.
func PageKey(id string, page int) string { return "p" + id + "/" + strconv.Itoa(page) }

// MachineKey returns the key of a machine's record.
func MachineKey(n int) string { return "m" + strconv.Itoa(n) }

// LaunchKey returns the key of a launch's record.
func LaunchKey(name string) string { return "h" + name }
