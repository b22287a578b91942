package controller

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/wire"
)

// configuration is the newest configuration document that the daemon has adopted. The zero value means that it has
// adopted none.
type configuration struct {
	// sequence is the number of the document.
	sequence uint64
	// specEpoch is the number of the spec in the document. It stays the same while only the directory changes.
	specEpoch uint64
	catalog   *config.Catalog
	directory []*wire.Member
	// reservations lists the daemons that hold reservations; nil if none does.
	reservations *wire.ReservationMembership
}

// adopt replaces the configuration by the document of a gossip entry. It returns an error and changes nothing if the
// document can't be decoded or is not newer.
func (configuration *configuration) adopt(entry *wire.GossipEntry) error {
	document := &wire.Document{}
	if err := proto.Unmarshal(entry.Value, document); err != nil {
		return fmt.Errorf("decoding the configuration document: %w", err)
	}
	if document.Sequence <= configuration.sequence {
		return errOutdatedDocument
	}
	if document.SpecEpoch != configuration.specEpoch {
		catalog, err := unpackCatalog(document.PackedSpec)
		if err != nil {
			return err
		}
		configuration.catalog = catalog
	}
	configuration.sequence, configuration.specEpoch = document.Sequence, document.SpecEpoch
	configuration.directory, configuration.reservations = document.Directory, document.Reservations
	return nil
}

// errOutdatedDocument is returned for a document that is not newer than the adopted one.
var errOutdatedDocument = errors.New("the configuration document is not newer than the adopted one")

// unpackCatalog returns the catalog of a document's packed spec.
func unpackCatalog(packed []byte) (*config.Catalog, error) {
	content, err := config.Unpack(packed)
	if err != nil {
		return nil, err
	}
	spec, err := config.Parse(content)
	if err != nil {
		return nil, err
	}
	return config.NewCatalog(spec), nil
}

// addressesOf returns the addresses of a zone's daemons in the order of the directory, or nil if there are none.
func (configuration *configuration) addressesOf(zone string) []string {
	var addresses []string
	for _, member := range configuration.directory {
		if member.Zone == zone {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// hasQuotas reports whether any tenant of the current spec has a quota.
func (configuration *configuration) hasQuotas() bool {
	if configuration.catalog == nil {
		return false
	}
	for index := range configuration.catalog.Spec.Tenants {
		if configuration.catalog.Spec.Tenants[index].Quota.Limited() {
			return true
		}
	}
	return false
}
