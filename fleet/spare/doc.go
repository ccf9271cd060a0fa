// Package spare decides how many VMs each pool needs in a data centre and which moves between pools pay.
package spare
