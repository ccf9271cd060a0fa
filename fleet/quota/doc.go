// Package quota counts what each team has running and decides whether more of it fits within the team's limit. It is pure and knows
// neither jobs nor workers.
package quota
