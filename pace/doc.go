// Package pace sets how hard tasks that fill work beside tasks that serve. It is
// pure.
package pace
