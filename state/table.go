package state

import (
	"iter"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Table is an immutable ordered map from id to value. Its zero value is empty.
// Values must not be changed once they are stored.
type Table[T any] struct {
	tree *iradix.Tree[T]
}

// Len returns the number of entries.
func (t Table[T]) Len() int {
	if t.tree == nil {
		return 0
	}
	return t.tree.Len()
}

// Get returns the value of id and whether it exists.
func (t Table[T]) Get(id string) (T, bool) {
	if t.tree == nil {
		var zero T
		return zero, false
	}
	return t.tree.Get([]byte(id))
}

// Put returns a table in which id has the value v.
func (t Table[T]) Put(id string, v T) Table[T] {
	tree := t.tree
	if tree == nil {
		tree = iradix.New[T]()
	}
	next, _, _ := tree.Insert([]byte(id), v)
	return Table[T]{next}
}

// Delete returns a table without id.
func (t Table[T]) Delete(id string) Table[T] {
	if t.tree == nil {
		return t
	}
	next, _, _ := t.tree.Delete([]byte(id))
	return Table[T]{next}
}

// All yields the entries in the order of their ids.
func (t Table[T]) All() iter.Seq2[string, T] {
	return t.WithPrefix("")
}

// WithPrefix yields the entries whose ids start with prefix, in order.
func (t Table[T]) WithPrefix(prefix string) iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		if t.tree == nil {
			return
		}
		it := t.tree.Root().Iterator()
		it.SeekPrefix([]byte(prefix))
		for k, v, ok := it.Next(); ok; k, v, ok = it.Next() {
			if !yield(string(k), v) {
				return
			}
		}
	}
}

// valuesWithPrefix yields the values whose ids start with prefix, in order.
func (t Table[T]) valuesWithPrefix(prefix string) iter.Seq[T] {
	return func(yield func(T) bool) {
		if t.tree == nil {
			return
		}
		it := t.tree.Root().Iterator()
		it.SeekPrefix([]byte(prefix))
		for _, v, ok := it.Next(); ok; _, v, ok = it.Next() {
			if !yield(v) {
				return
			}
		}
	}
}

// lowerBound returns the first id that is greater than or equal to from.
func (t Table[T]) lowerBound(from string) (string, bool) {
	if t.tree == nil {
		return "", false
	}
	it := t.tree.Root().Iterator()
	it.SeekLowerBound([]byte(from))
	k, _, ok := it.Next()
	return string(k), ok
}

// tableTxn batches changes to one table. A command with many changes then
// copies each inner node of the tree only once.
type tableTxn[T any] struct {
	table *Table[T]
	txn   *iradix.Txn[T]
}

func (e *tableTxn[T]) get(id string) (T, bool) {
	if e.txn == nil {
		return e.table.Get(id)
	}
	return e.txn.Get([]byte(id))
}

func (e *tableTxn[T]) put(id string, v T) {
	e.open()
	e.txn.Insert([]byte(id), v)
}

func (e *tableTxn[T]) delete(id string) {
	e.open()
	e.txn.Delete([]byte(id))
}

func (e *tableTxn[T]) open() {
	if e.txn != nil {
		return
	}
	tree := e.table.tree
	if tree == nil {
		tree = iradix.New[T]()
	}
	e.txn = tree.Txn()
}

// keys returns the ids that start with prefix, in order.
func (e *tableTxn[T]) keys(prefix string) []string {
	if e.txn != nil {
		e.commit()
	}
	var ids []string
	for id := range e.table.WithPrefix(prefix) {
		ids = append(ids, id)
	}
	return ids
}

// commit writes the changes into the table.
func (e *tableTxn[T]) commit() {
	if e.txn == nil {
		return
	}
	*e.table = Table[T]{e.txn.Commit()}
	e.txn = nil
}
