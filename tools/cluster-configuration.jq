# Reduces an example's configuration to the group $group, whose databases listen on $ports ("P1 P2 ...").
# Keeps the tenants of the group and the templates they use.
($ports | split(" ") | map(tonumber)) as $port_list
| . as $whole
| def group_of: .parameters.group // ($whole.templates[.template].parameters.group.default)
      // ($whole.templates[.template].route.group | strings);
  .groups |= {($group): .[$group]}
| .groups[$group].databases |= (to_entries | map(.value + {host: "127.0.0.1", port: $port_list[.key]}))
| .tenants |= with_entries(select(.value | group_of == $group))
| ([.tenants[].template] | unique) as $used
| .templates |= with_entries(select(.key | IN($used[])))
| .templates |= map_values(
    if .parameters.group then .parameters.group.allowed = [$group] else . end)
