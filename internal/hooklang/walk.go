package hooklang

// This file has the walks over whole values. Places that store a list or map share it, so a value of
// a few objects may be a tree of any number of entries: 60 lists whose two entries are the list before
// make 2^60. A walk therefore charges fuel for each entry when it reaches it, so that the limits of
// the run end it, and never computes a cost in advance.

// textFuelBytes is the length of text that costs one instruction.
const textFuelBytes = 16

// chargeVisit charges for visiting a string, list, map or record without its entries.
func (vm *VM) chargeVisit(o *object) { vm.chargeFuel(visitCost(o)) }

// visitCost is the fuel for visiting an object without its entries.
func visitCost(o *object) int64 {
	if o == nil {
		return 0
	}
	cost := int64(len(o.text)/textFuelBytes + len(o.items) + len(o.keys))
	for _, key := range o.keys {
		if key.object != nil {
			cost += int64(len(key.object.text) / textFuelBytes)
		}
	}
	return cost
}

// equal reports whether two values of type t are equal, and charges for the entries that it compares.
func (vm *VM) equal(t *Type, a, b Value) bool {
	switch {
	case t == typeFloat:
		return a.float() == b.float()
	case t == typeString:
		vm.chargeFuel(int64(min(len(a.str()), len(b.str())) / textFuelBytes))
		return a.str() == b.str()
	case t.record == nil && !t.isCollection():
		return a.bits == b.bits
	case a.object == b.object:
		return true
	case len(a.object.items) != len(b.object.items):
		return false
	}
	vm.chargeVisit(a.object)
	return vm.equalKeys(t, a.object, b.object) && vm.equalEntries(t, a.object, b.object)
}

// equalKeys reports whether two maps of the same size have the same keys. Other values have none.
func (vm *VM) equalKeys(t *Type, a, b *object) bool {
	for i := range a.keys {
		if !vm.equal(t.key, a.keys[i], b.keys[i]) {
			return false
		}
	}
	return true
}

// equalEntries reports whether the entries of two lists, maps or records of the same size are equal.
func (vm *VM) equalEntries(t *Type, a, b *object) bool {
	for i := range a.items {
		elem := t.elem
		if t.record != nil {
			elem = t.record.Fields[i].Type
		}
		if !vm.equal(elem, a.items[i], b.items[i]) {
			return false
		}
	}
	return true
}

// contains reports whether a list has an entry of type t that is equal to v.
func (vm *VM) contains(t *Type, list *object, v Value) bool {
	vm.chargeVisit(list)
	for _, e := range list.items {
		if vm.equal(t, e, v) {
			return true
		}
	}
	return false
}

// chargeTree charges for the whole tree of a value, and ends the run if it has more entries than the
// limit on sizes permits. size is the number of entries before it; the result includes them. What is
// written out, compared or restored without a run later, such as a state, must have passed it.
func (vm *VM) chargeTree(v Value, size int64) int64 {
	if v.object == nil {
		return size
	}
	cost := visitCost(v.object)
	vm.chargeFuel(cost)
	size += cost
	vm.checkSize(int(size))
	for _, e := range v.object.items {
		size = vm.chargeTree(e, size)
	}
	return size
}
