// Grammar of the operators' language. `npm run generate` compiles it to
// generated/parser.ts. `_` is optional space, `__` is required space, and
// `!Char` makes sure that a keyword is not only the start of a longer word.
{{
function toPosition(location) {
  return {line: location.start.line, column: location.start.column};
}
}}

Program
  = _ first:Statement rest:(_ ";" _ @Statement)* _ ";"? _ { return [first, ...rest]; }

Statement
  = Show / Help / Load / ChangeRole / Create / Set / Delete / Drain / Hold

Show
  = "show"i !Char __ table:Word
    where:(__ "where"i !Char _ @Condition)?
    orderBy:(__ @Ordering)?
    limit:(__ "limit"i !Char __ @Integer)?
    { return {kind: 'show', table, where, orderBy, limit, position: toPosition(location())}; }

Ordering
  = "order"i __ "by"i __ column:Word direction:(__ @Direction)?
    { return {column, direction: direction ?? 'asc', position: toPosition(location())}; }

Direction
  = "asc"i !Char { return 'asc'; }
  / "desc"i !Char { return 'desc'; }

Condition
  = head:Conjunction tail:(_ "or"i !Char _ @Conjunction)*
    { return tail.reduce((left, right) => ({kind: 'or', left, right}), head); }

Conjunction
  = head:Negation tail:(_ "and"i !Char _ @Negation)*
    { return tail.reduce((left, right) => ({kind: 'and', left, right}), head); }

Negation
  = "not"i !Char _ condition:Negation { return {kind: 'not', condition}; }
  / "(" _ @Condition _ ")"
  / Predicate

Predicate
  = column:Word __ "in"i !Char _ "(" _ values:Values _ ")"
    { return {kind: 'in', column, values, position: toPosition(location())}; }
  / column:Word _ comparison:Comparison _ value:Value
    { return {kind: 'compare', column, comparison, value, position: toPosition(location())}; }

Comparison "comparison"
  = "!=" / "<=" / ">=" / "=" / "<" / ">"

Help
  = "help"i !Char topic:(__ @Word)?
    { return {kind: 'help', topic, position: toPosition(location())}; }

Load
  = "load"i !Char settings:(__ @LoadSetting)+ __ "on"i __ "endpoint"i __ endpoint:Word
    { return {kind: 'load', endpoint, settings, position: toPosition(location())}; }

LoadSetting
  = !("on"i !Char) field:Word __ value:Value
    { return {field, values: [value], position: toPosition(location())}; }

ChangeRole
  = "change"i __ "role"i __ "of"i __ "endpoint"i __ endpoint:Word __ "to"i __ role:RoleSetting
    { return {kind: 'changeRole', endpoint, settings: [role], position: toPosition(location())}; }

RoleSetting
  = value:Value { return {field: 'role', values: [value], position: toPosition(location())}; }

Create
  = "create"i __ type:Word __ id:Word settings:Settings revision:Revision?
    { return {kind: 'create', type, id, settings, revision, position: toPosition(location())}; }

Set
  = "set"i __ type:Word __ id:Word settings:Settings revision:Revision?
    { return {kind: 'set', type, id, settings, revision, position: toPosition(location())}; }

Delete
  = "delete"i __ type:Word __ id:Word revision:Revision?
    { return {kind: 'delete', type, id, settings: [], revision, position: toPosition(location())}; }

Drain
  = verb:("drain"i / "undrain"i) __ "endpoint"i __ id:Word revision:Revision?
    { return {kind: verb.toLowerCase(), type: 'endpoint', id, settings: [], revision, position: toPosition(location())}; }

Hold
  = verb:("hold"i / "lift"i) __ "prompt-part"i __ id:Word revision:Revision?
    { return {kind: verb.toLowerCase(), type: 'prompt-part', id, settings: [], revision, position: toPosition(location())}; }

Revision
  = __ "if"i __ "revision"i _ "=" _ @Integer

Settings
  = (__ !("if"i __ "revision"i !Char) @Setting)*

Setting
  = field:Word __ values:Values
    { return {field, values, position: toPosition(location())}; }

Values
  = head:Value tail:(_ "," _ @Value)* { return [head, ...tail]; }

Value "value"
  = Number / Text / word:Word { return {kind: 'word', word}; }

Number
  = text:$("-"? [0-9]|1..15| ("." [0-9]|1..6|)?) !Char
    { return {kind: 'number', number: Number(text) + 0}; }

Integer "whole number"
  = text:$[0-9]|1..15| !Char { return Number(text); }

Text
  = '"' characters:Character* '"' { return {kind: 'text', text: characters.join('')}; }

Character
  = "\\" @["\\]
  / [^"\\\n]

Word "word"
  = $([A-Za-z0-9] Char*)

Char
  = [A-Za-z0-9._-]

_ "space"
  = ([ \t\r\n] / Comment)*

__ "space"
  = ([ \t\r\n] / Comment)+

Comment
  = "#" [^\n]*
