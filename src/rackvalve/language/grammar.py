"""Grammar of the language, for the lark library.

Keywords are case-insensitive; names consist of letters, digits and
``._:-``, or are quoted.  The reference page shows the grammar.
"""

from __future__ import annotations

GRAMMAR = r"""
start: query | why | preview | command

query: ("SHOW"i | COUNT) KIND [where] [order] [limit]
where: "WHERE"i filter ("AND"i filter)*
filter: field COMPARISON value
order: "ORDER"i "BY"i field [DIRECTION]
limit: "LIMIT"i number

why: "WHY"i SUBJECT name

preview: "PREVIEW"i start_wave
command: drain | return_ | move | start_wave | change_wave
       | set_priority | set_quota | set_budget

drain: "DRAIN"i "VM"i name
return_: "RETURN"i "VM"i name
move: "MOVE"i "VM"i name "TO"i "POOL"i name
start_wave: "START"i "WAVE"i name [over]
over: "OVER"i (over_pool | over_rack | over_vms)
over_pool: "POOL"i name
over_rack: "RACK"i name
over_vms: "VMS"i name ("," name)*
change_wave: CHANGE "WAVE"i name
set_priority: "SET"i "PRIORITY"i "OF"i name "TO"i number [at]
set_quota: "SET"i "QUOTA"i "OF"i name "TO"i (number | NONE) [at]
set_budget: "SET"i "BUDGET"i "OF"i name "TO"i number [at]
at: "AT"i "REVISION"i number

field: NAME
name: NAME | NUMBER | QUOTED
value: NAME | NUMBER | QUOTED
number: NUMBER

COUNT.3: "COUNT"i
KIND.3: /(pools|vms|workspaces|waves|entries)(?![A-Za-z0-9._:-])/i
SUBJECT.3: /(request|vm|pool)(?![A-Za-z0-9._:-])/i
CHANGE.3: /(pause|resume|abandon)(?![A-Za-z0-9._:-])/i
DIRECTION.3: /(asc|desc)(?![A-Za-z0-9._:-])/i
NONE.3: /none(?![A-Za-z0-9._:-])/i
COMPARISON: "!=" | "<=" | ">=" | "=" | "<" | ">"
NUMBER.2: /[0-9]{1,18}(?![A-Za-z0-9._:-])/
NAME: /[A-Za-z0-9][A-Za-z0-9._:-]{0,127}/
QUOTED: /'[^'\n]{0,128}'/

%import common.WS
%ignore WS
"""
